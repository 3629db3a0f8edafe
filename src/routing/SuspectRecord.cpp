// One word for each suspect: its numbers, separated by colons.
#include "routing/SuspectRecord.h"

#include "routing/SuspectTable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace tray {

namespace {

constexpr size_t Numbers = 6;

/// Reads the hexadecimal numbers of one suspect.
std::optional<std::array<uint64_t, Numbers>> parseNumbers(std::string_view word)
{
    std::array<uint64_t, Numbers> numbers{};
    const char *position = word.data();
    const char *const end = position + word.size();
    for (size_t i = 0; i < Numbers; ++i) {
        const auto [next, code] = std::from_chars(position, end, numbers[i], 16);
        const bool isLast = i + 1 == Numbers;
        if (code != std::errc{} || (isLast ? next != end : next == end || *next != ':'))
            return std::nullopt;
        position = isLast ? next : next + 1;
    }
    return numbers;
}

uint32_t toCount(uint64_t number)
{
    return static_cast<uint32_t>(std::min<uint64_t>(number, UINT32_MAX));
}

} // namespace

std::string formatSuspectRecord(const std::vector<proto::Suspect> &suspects, WallMs wall)
{
    std::string text;
    for (const auto &suspect : suspects)
        text += fmt::format("{}{:x}:{:x}:{:x}:{:x}:{:x}:{:x}", text.empty() ? "" : " ",
                            suspect.digest(), suspect.crashes(), suspect.rounds(), suspect.probes(),
                            suspect.isolated() ? 1 : 0, wall + suspect.remaining_ms());
    return text;
}

std::optional<proto::SuspectReport> parseSuspectRecord(std::string_view text, WallMs wall)
{
    constexpr auto Lifetime = static_cast<uint64_t>(
        std::chrono::duration_cast<milliseconds>(SuspectTable::SuspectLifetime).count());
    proto::SuspectReport report;
    while (!text.empty()) {
        const size_t end = std::min(text.find(' '), text.size());
        const auto numbers = parseNumbers(text.substr(0, end));
        if (!numbers)
            return std::nullopt;
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto [digest, crashes, rounds, probes, isolated, expiresAt] = *numbers;
        if (expiresAt <= wall)
            continue;
        auto *suspect = report.add_suspects();
        suspect->set_digest(digest);
        suspect->set_crashes(toCount(crashes));
        suspect->set_rounds(toCount(rounds));
        suspect->set_probes(toCount(probes));
        suspect->set_isolated(isolated != 0);
        // A clock that was wrong keeps a suspect no longer than a crash that was just seen.
        suspect->set_remaining_ms(toCount(std::min(expiresAt - wall, Lifetime)));
    }
    return report;
}

} // namespace tray
