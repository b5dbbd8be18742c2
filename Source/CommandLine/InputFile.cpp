#include "CommandLine/InputFile.h"

#include "Json/ParsedFile.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace Lavenderloft::CommandLine {

Base::Result<std::string, InputError> readInputFile(const std::string& path)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    // Reading one byte beyond the limit detects a file that is too large without reading the rest.
    std::string bytes(Json::maxFileBytes + 1, '\0');
    if (file)
        file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (!file && !file.eof())
        return InputError { InputErrorKind::NotReadable, path + ": cannot read the file: " + std::strerror(errno), "check the path and the permissions of the file" };
    bytes.resize(static_cast<size_t>(file.gcount()));
    if (bytes.size() > Json::maxFileBytes)
        return InputError { InputErrorKind::TooLarge, path + ": the file has more than " + std::to_string(Json::maxFileBytes) + " bytes", "make the file smaller" };
    return bytes;
}

} // namespace Lavenderloft::CommandLine
