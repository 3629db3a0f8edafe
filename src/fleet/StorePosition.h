// Positions in the history of the platform's store. The store's revisions start over when it is
// restored from an older copy, which begins a new era; a position joins the era and the revision in
// one number, so that it only rises. All revisions that the system keeps, compares or sends are
// positions.
#pragma once

#include <cstdint>

namespace tray {

/// Number of the low bits of a position that hold the revision; the era is above them.
inline constexpr int PositionRevisionBits = 40;
/// Highest era and revision of a position. Positions are exact as JSON numbers, which have 53 bits.
inline constexpr uint64_t MaxPositionEra = (uint64_t{1} << (53 - PositionRevisionBits)) - 1;
inline constexpr uint64_t MaxPositionRevision = (uint64_t{1} << PositionRevisionBits) - 1;

/// Returns the position of a revision in an era. Both must be within their limits.
constexpr uint64_t makePosition(uint64_t era, uint64_t revision)
{
    return era << PositionRevisionBits | revision;
}

constexpr uint64_t eraOf(uint64_t position)
{
    return position >> PositionRevisionBits;
}

constexpr uint64_t revisionOf(uint64_t position)
{
    return position & MaxPositionRevision;
}

} // namespace tray
