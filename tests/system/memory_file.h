/** A file without a disk, for tests whose event loop must not wait for one. */
#pragma once

#include <string>

namespace GeraniumLever {

class MemoryFile
{
public:
    /** Creates an empty file. Throws std::system_error if that fails. */
    explicit MemoryFile(const std::string &name);
    ~MemoryFile();

    MemoryFile(const MemoryFile &) = delete;
    MemoryFile &operator=(const MemoryFile &) = delete;

    /** Other processes of the same user can open it until this object is destroyed. */
    const std::string &path() const { return path_; }

    /** Replaces the contents. */
    void write(const std::string &text);

private:
    int descriptor_ = -1;
    std::string path_;
};

} // namespace GeraniumLever
