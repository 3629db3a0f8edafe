#include "ctl/Output.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>

namespace tray {

TextTable::TextTable(std::vector<std::string> header)
{
    this->rows.push_back(std::move(header));
}

void TextTable::add(std::vector<std::string> row)
{
    row.resize(this->rows.front().size());
    this->rows.push_back(std::move(row));
}

std::string TextTable::text() const
{
    auto sorted = this->rows;
    std::stable_sort(sorted.begin() + 1, sorted.end(),
                     [](const auto &left, const auto &right) { return left[0] < right[0]; });
    std::vector<size_t> widths(sorted.front().size(), 0);
    for (const auto &row : sorted) {
        for (size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (const auto &row : sorted) {
        std::string line;
        for (size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    }
    return out;
}

std::string toJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    // The conversion fails only for messages with unknown Any types; the schema has none.
    if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok())
        return "null";
    return text;
}

void JsonList::add(const google::protobuf::Message &message)
{
    this->items.push_back(toJson(message));
}

std::string JsonList::text() const
{
    std::string out = "[";
    for (size_t i = 0; i < this->items.size(); ++i)
        out += (i == 0 ? "\n" : ",\n") + this->items[i];
    return out + "\n]\n";
}

} // namespace tray
