#include "Process/ProcessCredentials.h"

#include <stdexcept>

namespace Lavenderloft::Process {

Transport::SharedCredentials makeProcessCredentials(const Settings::ProcessSettings& settings)
{
    auto credentials = Transport::makeCredentials(settings);
    if (!Base::succeeded(credentials))
        throw std::runtime_error(Base::errorOf(credentials).describe());
    return Base::takeValue(std::move(credentials));
}

} // namespace Lavenderloft::Process
