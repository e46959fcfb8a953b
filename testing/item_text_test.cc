// Guards the texts of items, and which of them a later job may use.

#include "anvilcroft/item_text.h"

#include <catch2/catch.hpp>

#include "anvilcroft/carried_texts.h"

namespace anvilcroft {
namespace {

const TimePoint kStart = TimePoint() + seconds(1000);

// Guards against the fault of chairwatch-lakes trouble-1: a resumed text with versions 4 and 5
// whose last event was made under 4 let the engine pass for one with 5.
TEST_CASE("the version of an engine is that of the last event", "[item_text]") {
  ItemText text;
  text.Add("a", 4);
  text.Add("b", 5);
  text.Add("c", 4);
  CHECK(text.last_version == 4);
  CHECK(text.versions == std::vector<int64_t>{4, 5});
  CHECK(text.data == "a\nb\nc");
  CHECK(text.VersionsAllowed(4, false));
  CHECK_FALSE(text.VersionsAllowed(5, false));
  CHECK_FALSE(text.VersionsAllowed(4, true));
}

TEST_CASE("the expected rest falls with each event and grows beyond the estimate", "[item_text]") {
  CHECK(ExpectedEventsLeft(20, 0, 5) == Approx(15));
  CHECK(ExpectedEventsLeft(20, 0, 100) > ExpectedEventsLeft(20, 0, 40));
  CHECK(ExpectedEventsLeft(20, 0, 20) > 0);
  // Estimates exceed the bound by several times.
  CHECK(ExpectedEventsLeft(500, 128, 28) == Approx(100));
  CHECK(ExpectedEventsLeft(20, 128, 120) == Approx(8));
  CHECK(ExpectedEventsLeft(20, 128, 129) == Approx(1));
}

TEST_CASE("texts of incomplete groups are kept for a later job, once", "[carried]") {
  OwnedJob job;
  for (int i = 0; i < 4; ++i) {
    OwnedItem item;
    item.item.id = std::to_string(i);
    item.item.group = i < 2 ? "whole" : "part";
    item.phase = i < 3 ? ItemPhase::kFinished : ItemPhase::kRunning;
    item.text.Add("x" + std::to_string(i), 1);
    job.items.push_back(item);
  }
  CarriedTexts texts;
  texts.AddIncompleteGroups(job, kStart);
  CHECK_FALSE(texts.Extract("0"));
  REQUIRE(texts.Extract("2"));
  CHECK_FALSE(texts.Extract("2"));
  texts.Expire(kStart + CarriedTexts::kLifetime);
  CHECK_FALSE(texts.Extract("3"));
}

}  // namespace
}  // namespace anvilcroft
