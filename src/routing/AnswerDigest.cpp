// Uses the streaming interface of XXH3.
#include "routing/AnswerDigest.h"

#include <new>
#include <xxhash.h>

namespace tray {

struct AnswerDigest::Impl
{
    Impl() : state(XXH3_createState())
    {
        if (this->state == nullptr)
            throw std::bad_alloc();
        XXH3_64bits_reset(this->state);
    }
    ~Impl() { XXH3_freeState(this->state); }

    XXH3_state_t *state;
};

AnswerDigest::AnswerDigest() : impl(std::make_unique<Impl>()) {}

AnswerDigest::~AnswerDigest() = default;

void AnswerDigest::add(std::string_view bytes)
{
    XXH3_64bits_update(this->impl->state, bytes.data(), bytes.size());
}

uint64_t AnswerDigest::value() const
{
    return XXH3_64bits_digest(this->impl->state);
}

} // namespace tray
