#include "tarragonbridge/settings.h"

#include "core/settings_parse_p.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
/// A subtree on the way from the root to a path.
struct chain_link {
  std::string Path;
  subtree_settings Subtree;
};

subtree_settings parseOrEmpty(std::string_view Path, std::string_view Text) {
  return tryOr([&] { return parseSubtree(Path, Text); },
               [](const error & /*Error*/) { return subtree_settings{}; });
}

std::vector<settings_operator> operatorsOf(const settings_document &Document) {
  return parseOrEmpty(Document.Path, Document.Present.Text).Operators;
}

/// @returns the paths from the root to a path, each one a prefix of the next
std::vector<std::string> prefixesOf(std::string_view Path) {
  std::vector<std::string> Prefixes{""};
  for (std::size_t At = Path.find('/'); At != std::string_view::npos;
       At = Path.find('/', At + 1)) {
    Prefixes.emplace_back(Path.substr(0, At));
  }
  if (!Path.empty()) {
    Prefixes.emplace_back(Path);
  }
  return Prefixes;
}

std::vector<chain_link> chainOf(const settings_snapshot &Snapshot,
                                std::string_view Path) {
  std::vector<chain_link> Chain;
  for (std::string &Prefix : prefixesOf(Path)) {
    const auto Found = Snapshot.Documents.find(Prefix);
    if (Found != Snapshot.Documents.end()) {
      subtree_settings Subtree =
          parseOrEmpty(Prefix, Found->second.Present.Text);
      Chain.push_back({std::move(Prefix), std::move(Subtree)});
    }
  }
  return Chain;
}

/// The nearest value counts, but a limit never exceeds one further up.
effective_values combine(const std::vector<chain_link> &Chain) {
  effective_values Values;
  for (std::size_t Index = 0; Index < SettingsFieldCount; ++Index) {
    const settings_field &Field = settingsFields().at(Index);
    effective_value &Out = Values.at(Index);
    Out.Value = Field.Default;
    for (const chain_link &Link : Chain) {
      const auto Own = Link.Subtree.Values.at(Index);
      const bool Exceeds =
          Own && Field.IsLimit && Out.Origin && *Own > Out.Value;
      if (Own && !Exceeds) {
        Out = {*Own, Link.Path};
      }
    }
  }
  return Values;
}

team_settings toTeam(const effective_values &Values) {
  team_settings Team;
  for (std::size_t Index = 0; Index < SettingsFieldCount; ++Index) {
    settingsFields().at(Index).Set(Team, Values.at(Index).Value);
  }
  return Team;
}

std::string parentOf(std::string_view Path) {
  const std::size_t Slash = Path.rfind('/');
  return Slash == std::string_view::npos ? ""
                                         : std::string(Path.substr(0, Slash));
}

bool isOperatorAnywhere(const settings_snapshot &Snapshot,
                        std::string_view TokenSha256) {
  for (const auto &[Path, Document] : Snapshot.Documents) {
    const auto Operators = operatorsOf(Document);
    if (std::any_of(Operators.begin(), Operators.end(),
                    [&](const settings_operator &Operator) {
                      return Operator.TokenSha256 == TokenSha256;
                    })) {
      return true;
    }
  }
  return false;
}

/// Operators of the root may change everything, so that a subtree whose
/// operators are lost can be taken over.
operators_rule operatorsRule(const settings_snapshot &Snapshot,
                             std::string_view Path) {
  bool RootNames = false;
  bool OthersName = false;
  for (const auto &[At, Document] : Snapshot.Documents) {
    const bool Names = !operatorsOf(Document).empty();
    (At.empty() ? RootNames : OthersName) |= Names;
  }
  if (Path.empty()) {
    return OthersName ? operators_rule::Required : operators_rule::Allowed;
  }
  return RootNames ? operators_rule::Allowed : operators_rule::Refused;
}

bool isNameCharacter(unsigned char C) {
  return std::islower(C) != 0 || std::isdigit(C) != 0 || C == '.' || C == '_' ||
         C == '-';
}
} // namespace

bool isValidSettingsPath(std::string_view Path) {
  if (Path.size() > config::MaxSettingsPathBytes) {
    return false;
  }
  bool AtStart = true;
  for (const char C : Path) {
    if (C == '/' ? AtStart : !isNameCharacter(static_cast<unsigned char>(C))) {
      return false;
    }
    AtStart = C == '/';
  }
  return Path.empty() || !AtStart;
}

settings_tree defaultSettings(std::string_view FailureDomain) {
  settings_tree Tree;
  Tree.FailureDomains.emplace_back(FailureDomain);
  Tree.Teams.emplace("default", team_settings{});
  return Tree;
}

settings_tree buildSettings(const settings_snapshot &Snapshot,
                            std::string_view OwnFailureDomain) {
  settings_tree Tree = defaultSettings(OwnFailureDomain);
  const auto Root = Snapshot.Documents.find("");
  if (Root != Snapshot.Documents.end()) {
    auto Domains = parseOrEmpty("", Root->second.Present.Text).FailureDomains;
    Tree.FailureDomains =
        Domains.empty() ? std::move(Tree.FailureDomains) : std::move(Domains);
  }
  Tree.Teams["default"] = toTeam(effectiveValues(Snapshot, "default"));
  for (const auto &[Path, Document] : Snapshot.Documents) {
    Tree.Revision = std::max(Tree.Revision, Document.Present.Revision);
    if (!Path.empty()) {
      Tree.Teams[Path] = toTeam(effectiveValues(Snapshot, Path));
    }
  }
  return Tree;
}

effective_values effectiveValues(const settings_snapshot &Snapshot,
                                 std::string_view Path) {
  return combine(chainOf(Snapshot, Path));
}

result<void> checkSubtree(const settings_snapshot &Snapshot,
                          std::string_view Path, std::string_view Text) {
  const auto Refuse = [&](std::string Faults) {
    return boost::leaf::new_error(error{"check settings", std::string(Path),
                                        reason::Malformed, std::move(Faults)});
  };
  if (!isValidSettingsPath(Path)) {
    return Refuse("path: expected names of a-z, 0-9, . _ - parted by /");
  }
  subtree_bounds Bounds;
  if (!Path.empty()) {
    Bounds.Parent = effectiveValues(Snapshot, parentOf(Path));
  }
  Bounds.Operators = operatorsRule(Snapshot, Path);
  BOOST_LEAF_CHECK(parseBoundedSubtree(Path, Text, Bounds));
  return {};
}

result<std::string> authorizeEdit(const settings_snapshot &Snapshot,
                                  std::string_view Path,
                                  std::string_view TokenSha256) {
  const std::vector<chain_link> Chain = chainOf(Snapshot, Path);
  const auto Nearest =
      std::find_if(Chain.rbegin(), Chain.rend(), [](const chain_link &Link) {
        return !Link.Subtree.Operators.empty();
      });
  if (Nearest == Chain.rend()) {
    return std::string();
  }
  const auto Refuse = [&](reason Reason, std::string Message) {
    return boost::leaf::new_error(
        error{"authorize edit", std::string(Path), Reason, std::move(Message)});
  };
  for (const settings_operator &Operator : Nearest->Subtree.Operators) {
    if (Operator.TokenSha256 == TokenSha256) {
      return Operator.Name;
    }
  }
  if (!isOperatorAnywhere(Snapshot, TokenSha256)) {
    return Refuse(reason::Unauthorized, "the token is missing or wrong");
  }
  return Refuse(reason::Forbidden,
                "the token may not change this subtree; its operators are "
                "named in " +
                    (Nearest->Path.empty() ? "the root" : Nearest->Path));
}

} // namespace tarragonbridge
