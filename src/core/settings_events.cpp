/// Applies settings offered by the store and by peers; never an older one.
#include "core/settings_p.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
/// What an offered subtree is to the one that this host holds.
enum class offer_kind : std::uint8_t { Newer, Same, Older, Conflict };

offer_kind compare(const settings_document *Held,
                   const settings_document &Offered) {
  if (Held == nullptr || Offered.Present.Revision > Held->Present.Revision) {
    return offer_kind::Newer;
  }
  if (Offered.Present.Revision < Held->Present.Revision) {
    return offer_kind::Older;
  }
  return Offered.Present == Held->Present ? offer_kind::Same
                                          : offer_kind::Conflict;
}

void ignore(dispatcher_state &State, reason Reason, const std::string &Path,
            const std::string &Peer, const std::string &Message,
            effects &Effects) {
  State.Figures.Reasons.add(Reason);
  Effects.emplace_back(log_line{"settings_ignored",
                                {{"path", Path},
                                 {"peer", Peer},
                                 {"reason", std::string(describe(Reason).Name)},
                                 {"message", Message}}});
}

/// Notes that the store holds less than this host; tells it once.
void noteBehind(settings_state &Settings, dispatcher_state &State,
                const std::string &Path, const std::string &Peer, reason Reason,
                effects &Effects) {
  if (Settings.Behind.insert(Path).second) {
    ignore(State, Reason, Path, Peer,
           "the store was restored to an older state; the settings held stay "
           "in force until this subtree is set again",
           Effects);
  }
}

/// @returns whether the text has no faults; a faulty one is told once
bool isSound(dispatcher_state &State, const settings_offered &Event,
             const settings_document &Offered, effects &Effects) {
  std::map<std::string, std::int64_t> &Rejected = State.SettingsPart.Rejected;
  const std::int64_t Revision = Offered.Present.Revision;
  return tryOr(
      [&]() -> result<bool> {
        BOOST_LEAF_CHECK(parseSubtree(Offered.Path, Offered.Present.Text));
        Rejected.erase(Offered.Path);
        return true;
      },
      [&](const error &Error) {
        if (std::exchange(Rejected[Offered.Path], Revision) != Revision) {
          ignore(State, reason::SettingsMalformed, Offered.Path, Event.Peer,
                 Error.Message, Effects);
        }
        return false;
      });
}

/// @returns whether the subtree was applied
bool offerDocument(dispatcher_state &State, const settings_offered &Event,
                   const settings_document &Offered, effects &Effects) {
  settings_state &Settings = State.SettingsPart;
  auto &Documents = Settings.Held.Documents;
  const auto Found = Documents.find(Offered.Path);
  settings_document *Held = Found == Documents.end() ? nullptr : &Found->second;
  const bool FromStore = Event.Source == settings_source::Store;
  switch (compare(Held, Offered)) {
  case offer_kind::Newer:
    if (!isSound(State, Event, Offered, Effects)) {
      return false;
    }
    Documents[Offered.Path] = Offered;
    Settings.Behind.erase(Offered.Path);
    return true;
  case offer_kind::Same:
    if (FromStore) {
      Settings.Behind.erase(Offered.Path);
      Held->History = Offered.History;
    }
    return false;
  case offer_kind::Older:
    if (FromStore) {
      noteBehind(Settings, State, Offered.Path, Event.Peer,
                 reason::SettingsBehind, Effects);
    }
    return false;
  case offer_kind::Conflict:
    if (FromStore) {
      noteBehind(Settings, State, Offered.Path, Event.Peer,
                 reason::SettingsConflict, Effects);
    } else {
      ignore(State, reason::SettingsConflict, Offered.Path, Event.Peer,
             "a peer holds another text at the same revision", Effects);
    }
    return false;
  }
  return false;
}

void noteMissing(dispatcher_state &State, const settings_offered &Event,
                 effects &Effects) {
  settings_state &Settings = State.SettingsPart;
  for (const auto &[Path, Document] : Settings.Held.Documents) {
    const bool IsMissing =
        (Event.IsWhole && !Event.Snapshot.Documents.contains(Path) &&
         !Settings.Rejected.contains(Path)) ||
        std::find(Event.Missing.begin(), Event.Missing.end(), Path) !=
            Event.Missing.end();
    if (IsMissing && Event.Source == settings_source::Store) {
      noteBehind(Settings, State, Path, Event.Peer, reason::SettingsBehind,
                 Effects);
    }
  }
}
} // namespace

void onSettingsOffered(dispatcher_state &State, const settings_offered &Event,
                       instant Now, effects &Effects) {
  bool Changed = false;
  for (const auto &[Path, Offered] : Event.Snapshot.Documents) {
    Changed = offerDocument(State, Event, Offered, Effects) || Changed;
  }
  noteMissing(State, Event, Effects);
  if (!Changed) {
    return;
  }
  const settings_snapshot &Held = State.SettingsPart.Held;
  settings_tree Tree = buildSettings(Held, State.Init.Self.FailureDomain);
  Effects.emplace_back(
      log_line{"settings_applied",
               {{"revision", std::to_string(Tree.Revision)},
                {"subtrees", std::to_string(Held.Documents.size())},
                {"peer", Event.Peer}}});
  Effects.emplace_back(
      settings_applied{std::make_shared<settings_snapshot>(Held)});
  useSettings(State, std::move(Tree), Now, Effects);
}

void onSettingsUnreadable(dispatcher_state &State,
                          const settings_unreadable &Event, effects &Effects) {
  std::map<std::string, std::int64_t> &Rejected = State.SettingsPart.Rejected;
  if (std::exchange(Rejected[Event.Path], Event.ModRevision) !=
      Event.ModRevision) {
    ignore(State, reason::SettingsMalformed, Event.Path, "store", Event.Message,
           Effects);
  }
}

void onStoreContact(dispatcher_state &State, const store_contact &Event,
                    instant Now, effects &Effects) {
  settings_state &Settings = State.SettingsPart;
  if (Settings.Contact && Settings.Contact->Reached == Event.Reached) {
    return;
  }
  Settings.Contact = Event;
  Settings.ContactSince = Now.Wall;
  Effects.emplace_back(
      log_line{Event.Reached ? "store_reached" : "store_unreachable",
               {{"message", Event.Message}}});
}

Json::Value describeSettings(const dispatcher_state &State) {
  const settings_state &Settings = State.SettingsPart;
  Json::Value Body;
  Body["revision"] = Json::Int64(State.Settings.Revision);
  Body["subtrees"] = Json::UInt64(Settings.Held.Documents.size());
  Body["digest"] = std::to_string(digestOf(revisionsOf(Settings.Held)));
  Json::Value &Behind = Body["store_behind"] = Json::Value(Json::arrayValue);
  for (const std::string &Path : Settings.Behind) {
    Behind.append(Path);
  }
  Json::Value &Rejected = Body["malformed"] = Json::Value(Json::arrayValue);
  for (const auto &[Path, Revision] : Settings.Rejected) {
    Rejected.append(Path);
  }
  Json::Value &Store = Body["store"];
  Store["state"] = !Settings.Contact           ? "unknown"
                   : Settings.Contact->Reached ? "reached"
                                               : "unreachable";
  Store["since_ms"] =
      Json::Int64(Settings.ContactSince.time_since_epoch().count());
  Store["message"] = Settings.Contact ? Settings.Contact->Message : "";
  return Body;
}

} // namespace tarragonbridge
