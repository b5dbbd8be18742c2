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
// Members in the order of the file; a duplicate key is reported and left out.
using Object = std::vector<Member>;

// A JSON value that remembers its place in the file.
struct Value {
    std::variant<Null, bool, int64_t, uint64_t, double, std::string, Array, Object> data;
    // Offset of the value's first byte.
    size_t offset = 0;

    const Array* asArray() const { return std::get_if<Array>(&data); }
    const Object* asObject() const { return std::get_if<Object>(&data); }
    const std::string* asString() const { return std::get_if<std::string>(&data); }

    // The member of that name; null if this is no object or has no such member.
    const Value* find(std::string_view name) const;

    // What the value is, for messages: "an object", "a number" and so on.
    std::string_view describeType() const;
};

struct Member {
    std::string name;
    Value value;
};

} // namespace Lavenderloft::Json
