// Incremental digest of an answer's bytes, computed as they arrive.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace tray {

/// The value equals hash64() with seed 0 over all bytes added so far.
class AnswerDigest
{
public:
    AnswerDigest();
    ~AnswerDigest();

    void add(std::string_view bytes);
    uint64_t value() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace tray
