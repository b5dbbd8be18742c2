#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Lavenderloft::Json {

struct Value;
struct Member;

struct Null { };
using Array = std::vector<Value>;
// Members in file order, without duplicate keys, which TreeBuilder reports and discards.
using Object = std::vector<Member>;

// A JSON value with its position in the file.
struct Value {
    std::variant<Null, bool, int64_t, uint64_t, double, std::string, Array, Object> data;
    // Byte offset of the start of the value.
    size_t offset = 0;

    const Array* asArray() const { return std::get_if<Array>(&data); }
    const Object* asObject() const { return std::get_if<Object>(&data); }
    const std::string* asString() const { return std::get_if<std::string>(&data); }

    // Returns the member with that name; null if the value is not an object or has no such member.
    const Value* find(std::string_view name) const;

    // Returns the type with an article for use in messages, for example "an object".
    std::string_view describeType() const;
};

struct Member {
    std::string name;
    Value value;
};

} // namespace Lavenderloft::Json
