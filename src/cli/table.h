/// Tables for people, with columns as wide as their widest cell.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace tarragonbridge::cli {

using table_row = std::vector<std::string>;

/// Prints rows under a header, all of the same length.
void printTable(std::ostream &Out, const table_row &Header,
                const std::vector<table_row> &Rows);

} // namespace tarragonbridge::cli
