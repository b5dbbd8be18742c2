#include "Standin/FileContent.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace Lavenderloft::Standin {

std::string readFile(const std::string& path)
{
    std::ifstream input(path, std::ios::binary);
    if (!input)
        throw std::runtime_error("cannot read file \"" + path + "\"");
    return std::string(std::istreambuf_iterator<char>(input), {});
}

void writeFile(const std::string& path, const std::string& bytes)
{
    auto temporary = path + ".new";
    std::ofstream output(temporary, std::ios::binary | std::ios::trunc);
    output << bytes;
    output.close();
    std::error_code error;
    std::filesystem::rename(temporary, path, error);
    if (!output || error)
        throw std::runtime_error("cannot write file \"" + path + "\"");
}

} // namespace Lavenderloft::Standin
