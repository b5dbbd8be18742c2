#pragma once

#include <string>
#include <utility>
#include <variant>

namespace Lavenderloft::Base {

// The value of an operation that succeeds without returning data.
struct Done {
    bool operator==(const Done&) const = default;
};

// Either the value of an operation or a typed error.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

// A typed error. The message names the invalid argument; the remedy states how to correct it.
template <typename KindType>
struct Error {
    using Kind = KindType;

    Kind kind {};
    std::string message;
    std::string remedy;

    std::string describe() const { return remedy.empty() ? message : message + "; " + remedy; }
};

template <typename Value, typename ErrorType>
bool succeeded(const Result<Value, ErrorType>& result)
{
    return result.index() == 0;
}

template <typename Value, typename ErrorType>
const Value& valueOf(const Result<Value, ErrorType>& result)
{
    return std::get<0>(result);
}

template <typename Value, typename ErrorType>
Value takeValue(Result<Value, ErrorType>&& result)
{
    return std::get<0>(std::move(result));
}

template <typename Value, typename ErrorType>
const ErrorType& errorOf(const Result<Value, ErrorType>& result)
{
    return std::get<1>(result);
}

} // namespace Lavenderloft::Base
