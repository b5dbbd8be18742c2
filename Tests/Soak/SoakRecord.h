#pragma once

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>

namespace Lavenderloft::Soak {

// What the stand-ins saw, with Unix times in milliseconds, to be read beside the logs of the processes.
class SoakRecord {
public:
    explicit SoakRecord(const std::filesystem::path& path)
        : m_file(path)
    {
    }

    void write(const std::string& text)
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        m_file << std::chrono::duration_cast<std::chrono::milliseconds>(now).count() << " " << text << std::endl;
    }

private:
    std::ofstream m_file;
};

} // namespace Lavenderloft::Soak
