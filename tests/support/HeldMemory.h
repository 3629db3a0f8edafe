// Memory that the test process holds.
#pragma once

#include <cstddef>
#include <fstream>
#include <unistd.h>

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Part of the sanitizers' runtime; g++ comes without its header.
extern "C" size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace tray::test {

/// Memory of this process that is not swapped out, in bytes. In a sanitizer build, the bytes that
/// are allocated: freed ones stay resident there, in the sanitizer's quarantine.
inline size_t heldBytes()
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    return __sanitizer_get_current_allocated_bytes();
#else
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
#endif
}

} // namespace tray::test
