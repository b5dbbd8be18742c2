#pragma once

#include "Base/Result.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <popt.h>
#include <string>
#include <vector>

namespace Lavenderloft::Standin {

enum class OptionErrorKind {
    Malformed,
    HelpRequested,
};

using OptionError = Base::Error<OptionErrorKind>;

// The options of a subcommand, parsed with popt. The variables keep their values for options not given.
class OptionTable {
public:
    explicit OptionTable(std::string subcommand);
    ~OptionTable();

    OptionTable& text(const char* name, std::string&, const char* help);
    OptionTable& texts(const char* name, std::vector<std::string>&, const char* help);
    OptionTable& number(const char* name, uint64_t&, const char* help);
    OptionTable& real(const char* name, double&, const char* help);
    OptionTable& milliseconds(const char* name, std::chrono::milliseconds&, const char* help);
    OptionTable& flag(const char* name, bool&, const char* help);

    // The error's message is the help text if that was asked for.
    Base::Result<Base::Done, OptionError> parse(const std::vector<std::string>& arguments);

private:
    struct Entry;

    Entry& add(const char* name, int kind, const char* help, const char* argument);
    std::string helpText() const;

    std::string m_subcommand;
    // A deque, so that popt can keep addresses of the entries.
    std::deque<Entry> m_entries;
};

} // namespace Lavenderloft::Standin
