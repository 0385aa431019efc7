#include <criterion/criterion.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "teaselspread/config.h"

namespace teaselspread {
namespace {

const std::string kBase = R"(deployment: addis
data_centers: [bole, piassa]
services:
  registry-desk: {version: v1, warm_up: 5s}
  bundle-works: {version: v1}
routes:
  case-index: {service: registry-desk, method: GET, path_prefix: /cases}
  bundle:
    service: bundle-works
    method: GET
    path_prefix: /cases/bundles
moves:
  m1:
    service: registry-desk
    from: v1
    to: v2
    start: 2026-12-04T18:00:00Z
    by: 2026-12-04T22:00:00Z
limits: {max_body_bytes: 8MiB}
)";
const std::string kOverlay = "services:\n  registry-desk: {queue_limit: 9}\n";

Result<Document> Load(const std::string& base, const std::string& bole) {
  return LoadSources({{"base.yaml", base}, {{"bole", {"bole.yaml", bole}}}});
}

struct InvalidSource {
  const char* name;
  // Text in kBase and its replacement.
  const char* replaced;
  const char* replacement;
  const char* overlay;
  const char* message;
};

const std::vector<InvalidSource> kInvalidSources = {
    {"not YAML", "deployment:", "deployment: [", "", "base.yaml:"},
    {"list at the root", "deployment: addis", "- a", "", "base.yaml:"},
    {"no deployment", "deployment: addis\n", "", "",
     "base.yaml:1: base: missing field deployment"},
    {"no data centres", "data_centers: [bole, piassa]\n", "", "", "base.yaml:"},
    {"data centre twice", "[bole, piassa]", "[bole, bole]", "",
     "base.yaml:2: base/data_centers: names bole twice"},
    {"unknown section", "limits:", "limit:", "",
     "base.yaml:19: base/limit: unknown section"},
    {"unknown field", "warm_up", "warmup", "",
     "base.yaml:4: base/services/registry-desk/warmup: unknown field, expected "
     "one of: version, queue_limit, connections, warm_up"},
    {"field twice", "{version: v1}", "{version: v1, version: v2}", "",
     "base.yaml:5: base/services/bundle-works/version: stands twice"},
    {"service twice", "  bundle-works: {version: v1}",
     "  registry-desk: {version: v2}", "",
     "base.yaml:5: base/services/registry-desk: stands twice"},
    {"list for a value", "warm_up: 5s", "warm_up: [5s]", "",
     "base.yaml:4: base/services/registry-desk/warm_up: expected one value, "
     "got "
     "a list"},
    {"duration", "5s", "5", "",
     "base.yaml:4: base/services/registry-desk/warm_up: expected a duration"},
    {"duration out of range", "5s", "100h", "", "base.yaml:4: "},
    {"duration overflows", "5s", "9223372036854775807h", "", "base.yaml:4: "},
    {"size", "8MiB", "8MB", "",
     "base.yaml:19: base/limits/max_body_bytes: expected a size"},
    {"method", "method: GET", "method: get", "", "base.yaml:7: "},
    {"path", "path_prefix: /cases}", "path_prefix: cases}", "",
     "base.yaml:7: "},
    {"time", "2026-12-04T18:00:00Z", "2026-13-04T18:00:00Z", "",
     "base.yaml:17: base/moves/m1/start: expected a time in UTC"},
    {"time zone", "2026-12-04T18:00:00Z", "2026-12-04T18:00:00+03:00", "",
     "base.yaml:17: "},
    {"null in the base", "warm_up: 5s", "warm_up: ~", "", "base.yaml:4: "},
    {"service without fields", "{version: v1}", "{}", "",
     "base.yaml:5: base/services/bundle-works: expected at least one field"},
    {"missing version", "{version: v1}", "{queue_limit: 3}", "",
     "base.yaml:5: base/services/bundle-works: missing field version"},
    {"route to nowhere", "service: bundle-works", "service: bundel-works", "",
     "base.yaml:9: base/routes/bundle/service: no service is called "
     "bundel-works"},
    {"same method and prefix", "/cases/bundles", "/cases", "",
     "base.yaml:7: base/routes/case-index/path_prefix: route bundle already "
     "takes GET /cases"},
    {"move of nothing", "service: registry-desk\n    from",
     "service: x\n    from", "",
     "base.yaml:14: base/moves/m1/service: no service is called x"},
    {"move from an unknown version", "from: v1", "from: v0", "",
     "base.yaml:15: base/moves/m1/from: expected the version of registry-desk"},
    {"move to itself", "to: v2", "to: v1", "", "base.yaml:16: "},
    {"by before start", "T22:", "T17:", "",
     "base.yaml:18: base/moves/m1/by: expected a time after start"},
    {"by before the watch can end", "to: v2", "to: v2\n    watch: 4h", "",
     "base.yaml:19: base/moves/m1/by: expected more time after start"},
    {"moves overlap", "limits:",
     "  m2: {service: registry-desk, from: v2, to: v3, start: "
     "2026-12-04T22:00:29Z, by: 2026-12-05T01:00:00Z}\nlimits:",
     "", "base.yaml:19: base/moves/m2/start: overlaps move m1"},
    {"move differs between data centres", "", "", "moves: {m1: {to: v3}}\n",
     "bole.yaml:1: overlay/bole/moves/m1/to: expected v2 as in "
     "base/moves/m1/to"},
    {"name of 33 letters", "bundle-works: {version",
     "bundle-works: {version: v1}\n  a23456789012345678901234567890123: "
     "{version",
     "", "base.yaml:3: base/services: key"},
    {"body above memory", "8MiB", "512MiB", "",
     "base.yaml:19: base/limits/max_body_bytes: expected at most"},
    {"route above limit", "/cases/bundles",
     "/cases/bundles\n    max_body_bytes: 9MiB", "",
     "base.yaml:12: base/routes/bundle/max_body_bytes: expected at most"},
    {"overlay changes the data centres", "", "", "data_centers: [bole]\n",
     "bole.yaml:1: overlay/bole/data_centers: expected only in the base file"},
    {"overlay deletes nothing", "", "", "\nroutes: {bundel: ~}\n",
     "bole.yaml:2: overlay/bole/routes/bundel: deletes what the base lacks"},
    {"overlay deletes a service in use", "", "",
     "services: {bundle-works: ~}\n",
     "base.yaml:9: base/routes/bundle/service: no service is called"},
    {"overlay deletes a field in need", "", "",
     "routes: {bundle: {method: ~}}\n",
     "base.yaml:8: base/routes/bundle: "
     "missing field method"},
    {"overlay value", "", "", "services: {bundle-works: {queue_limit: -1}}\n",
     "bole.yaml:1: overlay/bole/services/bundle-works/queue_limit: expected an "
     "integer from 0 to 100000, got \"-1\""},
    {"overlay points to nowhere", "", "", "routes: {bundle: {service: x}}\n",
     "bole.yaml:1: overlay/bole/routes/bundle/service: no service is called x"},
    {"overlay is a list", "", "", "[1, 2]\n",
     "bole.yaml:1: overlay/bole: expected a map, got a list"},
};

std::string Replaced(std::string text,
                     const std::string& replaced,
                     const std::string& replacement) {
  const std::size_t at = text.find(replaced);
  cr_assert(at != std::string::npos, "%s", replaced.c_str());
  return text.replace(at, replaced.size(), replacement);
}

// Guards against accepting a source file with a typing error: a route could
// reference a service that no proxy has, and callers would get "not found" for
// cases that exist.
Test(config_source, each_bad_file_gives_one_line_with_its_place) {
  for (const InvalidSource& invalid : kInvalidSources) {
    const auto document =
        Load(Replaced(kBase, invalid.replaced, invalid.replacement),
             invalid.overlay);
    cr_assert(!document.has_value(), "%s", invalid.name);
    const std::string& message = document.error().message;
    cr_assert(message.starts_with(invalid.message), "%s: %s", invalid.name,
              message.c_str());
    cr_assert(message.find('\n') == std::string::npos, "%s", invalid.name);
  }
}

Test(config_source, an_overlay_changes_and_deletes) {
  const auto document =
      Load(kBase, kOverlay +
                      "routes: {bundle: ~}\nmoves: {m1: ~}\nlimits: "
                      "{max_body_bytes: ~, silence: 2s}\n");
  cr_assert(document.has_value(), "%s", document.error().message.c_str());
  const auto bole = Render(*document, "bole", 7);
  const auto piassa = Render(*document, "piassa", 7);
  cr_assert((*bole)->services.at("registry-desk").queue_limit == 9);
  cr_assert((*bole)->services.at("registry-desk").version == "v1");
  cr_assert((*bole)->routes.size() == 1 && (*bole)->moves.empty());
  cr_assert((*bole)->limits.max_body_bytes == LimitsConfig().max_body_bytes);
  cr_assert((*bole)->limits.silence == std::chrono::seconds(2));
  cr_assert((*bole)->version == 7 && (*bole)->data_center == "bole");
  cr_assert((*piassa)->routes.size() == 2 && (*piassa)->moves.size() == 1);
  // The route with the longest prefix comes first.
  cr_assert((*piassa)->routes.front().name == "bundle");
  cr_assert(!Render(*document, "mars", 7).has_value());
}

Test(config_source, equal_files_in_other_words_have_equal_digests) {
  const std::string other =
      Replaced(Replaced(Replaced(kBase, "5s", "5000ms"), "8MiB", "8192KiB"),
               "[bole, piassa]", "[piassa, bole]");
  cr_assert(DigestOf(*Load(kBase, "")) == DigestOf(*Load(other, "# none")));
  const std::string changed = Replaced(kBase, "5s", "6s");
  cr_assert(DigestOf(*Load(kBase, "")) != DigestOf(*Load(changed, "")));
}

// A log record may contain leaves that no source file can produce. Validation
// must handle a path that is truncated or names no field, and reject it.
Test(config_source, paths_that_no_file_gives_are_refused) {
  const Document valid_document = *Load(kBase, kOverlay);
  const std::vector<const char*> parts = {
      "base",    "overlay", "bole",       "services", "registry-desk",
      "version", "",        "deployment", "limits",   "data_centers",
      "routes",  "moves",   "bundle",     "x",        "bounds"};
  int refused = 0;
  for (std::uint64_t seed = 0; seed < 5000; ++seed) {
    Rng rng(seed);
    std::string path = rng() % 3 == 0 ? "" : "base/";
    for (std::size_t i = rng() % 5; i > 0; --i)
      path += std::string(parts[rng() % parts.size()]) + (i > 1 ? "/" : "");
    if (valid_document.leaves.contains(path))
      continue;
    Document document = valid_document;
    document.leaves[path] = rng() % 2 == 0 ? "v1" : std::string(kDeletedLeaf);
    const bool valid = ValidateAll(document).has_value();
    const bool may_be_valid =
        path.ends_with("/version") || path.starts_with("overlay/bole/");
    cr_assert(!valid || may_be_valid, "%s", path.c_str());
    refused += valid ? 0 : 1;
  }
  cr_assert(refused > 3000, "%d", refused);
}

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

Test(config_source, the_examples_are_good) {
  const std::vector<std::pair<std::string, std::vector<std::string>>> examples =
      {{"addis", {"bole", "piassa", "kazanchis", "arat-kilo"}},
       {"khomas", {"khomas-a", "khomas-b", "khomas-c"}}};
  for (const auto& [deployment, data_centers] : examples) {
    const std::string folder = SOURCE_DIR "/examples/" + deployment + "/";
    ConfigSources sources{{"base.yaml", ReadFile(folder + "base.yaml")}, {}};
    for (const std::string& name : data_centers)
      sources.overlays[name] = {name, ReadFile(folder + name + ".yaml")};
    const auto document = LoadSources(sources);
    cr_assert(document.has_value(), "%s", document.error().message.c_str());
    cr_assert(DataCentersOf(*document).size() == data_centers.size());
  }
}

}  // namespace
}  // namespace teaselspread
