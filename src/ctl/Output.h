// Tables and JSON of the operators' client.
#pragma once

#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace tray {

/// Rows of text with a head line. Columns are as wide as their longest cell.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> head);

    void add(std::vector<std::string> row);
    /// Rows in the order of their first cell.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

/// JSON form of messages, as an array with one message a line.
class JsonList
{
public:
    void add(const google::protobuf::Message &message);
    std::string text() const;

private:
    std::vector<std::string> items;
};

/// JSON form of one message, with the field names of the schema.
std::string toJson(const google::protobuf::Message &message);

} // namespace tray
