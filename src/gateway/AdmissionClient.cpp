// Keeps the open admissions by their tickets.
#include "gateway/AdmissionClient.h"

#include "gateway/Admission.h"

namespace tray {

uint64_t AdmissionClient::open(Admission &admission)
{
    const uint64_t ticket = this->nextTicket++;
    this->admissions.emplace(ticket, &admission);
    return ticket;
}

void AdmissionClient::handleReply(const proto::AdmissionReply &reply, const Address &sender,
                                  Instant now)
{
    this->repeatNotes(now);
    if (reply.incarnation() != this->incarnation)
        return;
    if (const auto found = this->admissions.find(reply.ticket()); found != this->admissions.end()) {
        found->second->handleReply(reply, now);
        return;
    }
    // The request has ended, but the steward still queues or runs it: the ask may have overtaken
    // the note that ended it.
    if (reply.verdict() != proto::ADMISSION_GRANTED && reply.verdict() != proto::ADMISSION_QUEUED)
        return;
    proto::Datagram datagram;
    auto *note = datagram.mutable_admission_note();
    note->set_incarnation(this->incarnation);
    note->set_ticket(reply.ticket());
    note->set_stage(proto::ADMISSION_CANCELLED);
    this->hooks.send(datagram, sender);
}

void AdmissionClient::sendFinalNote(const proto::AdmissionNote &note, const Address &target,
                                    Instant now)
{
    this->repeatNotes(now);
    proto::Datagram datagram;
    *datagram.mutable_admission_note() = note;
    this->hooks.send(datagram, target);
    if (this->repeatedNotes.size() < MaxRepeatedNotes)
        this->repeatedNotes.push_back({now + NoteRepeatDelay, target, std::move(datagram)});
}

void AdmissionClient::repeatNotes(Instant now)
{
    while (!this->repeatedNotes.empty() && now >= this->repeatedNotes.front().dueAt) {
        this->hooks.send(this->repeatedNotes.front().datagram, this->repeatedNotes.front().target);
        this->repeatedNotes.pop_front();
    }
}

} // namespace tray
