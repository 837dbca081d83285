#include "tests/system/memory_file.h"

#include <system_error>

#include <sys/mman.h>
#include <unistd.h>

namespace GeraniumLever {

MemoryFile::MemoryFile(const std::string &name) : descriptor_(memfd_create(name.c_str(), MFD_CLOEXEC))
{
    if (descriptor_ == -1) {
        throw std::system_error(errno, std::generic_category(), "cannot create a file in memory");
    }
    path_ = "/proc/" + std::to_string(getpid()) + "/fd/" + std::to_string(descriptor_);
}

MemoryFile::~MemoryFile()
{
    ::close(descriptor_);
}

void MemoryFile::write(const std::string &text)
{
    const auto size = static_cast<ssize_t>(text.size());
    if (ftruncate(descriptor_, 0) == -1 || pwrite(descriptor_, text.data(), text.size(), 0) != size) {
        throw std::system_error(errno, std::generic_category(), "cannot write a file in memory");
    }
}

} // namespace GeraniumLever
