#include "cli/table.h"

#include <algorithm>

namespace tarragonbridge::cli {

namespace {
constexpr std::size_t ColumnGap = 2;

void widen(std::vector<std::size_t> &Widths, const table_row &Row) {
  for (std::size_t Column = 0; Column < Row.size(); ++Column) {
    Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
}

void printRow(std::ostream &Out, const std::vector<std::size_t> &Widths,
              const table_row &Row) {
  std::string Line;
  for (std::size_t Column = 0; Column < Row.size(); ++Column) {
    std::string Cell = Row[Column];
    Cell.resize(Widths[Column] + ColumnGap, ' ');
    Line += Cell;
  }
  Line.erase(Line.find_last_not_of(' ') + 1);
  Out << Line << '\n';
}
} // namespace

void printTable(std::ostream &Out, const table_row &Header,
                const std::vector<table_row> &Rows) {
  std::vector<std::size_t> Widths(Header.size(), 0);
  widen(Widths, Header);
  for (const table_row &Row : Rows) {
    widen(Widths, Row);
  }
  printRow(Out, Widths, Header);
  for (const table_row &Row : Rows) {
    printRow(Out, Widths, Row);
  }
}

} // namespace tarragonbridge::cli
