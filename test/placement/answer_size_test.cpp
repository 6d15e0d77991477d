#include <medlarmoor/placement/answer_size.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace medlarmoor::placement;

TEST_CASE("no answer is unusually short before the usual size is known") {
  AnswerSize Sizes;
  for (int I = 0; I < 20; ++I)
    Sizes.add(800);
  CHECK_FALSE(Sizes.unusuallyShort(1));
}

TEST_CASE("an error page is unusually short among answers of one size") {
  AnswerSize Sizes;
  for (int I = 0; I < 200; ++I)
    Sizes.add(790 + I % 5);
  CHECK(Sizes.unusuallyShort(170));
  CHECK_FALSE(Sizes.unusuallyShort(500));
  CHECK_FALSE(Sizes.unusuallyShort(5000));
}

TEST_CASE("answers that vary widely are rarely taken for errors") {
  AnswerSize Sizes;
  std::mt19937_64 Source(3);
  std::lognormal_distribution<double> Bytes(7.8, 0.6);
  int ShortAnswers = 0;
  constexpr int Answers = 20'000;
  for (int I = 0; I < Answers; ++I) {
    const auto Size = static_cast<std::uint32_t>(Bytes(Source)) + 1;
    ShortAnswers += Sizes.unusuallyShort(Size) ? 1 : 0;
    Sizes.add(Size);
  }
  CHECK(ShortAnswers < Answers / 1000);
  CHECK(Sizes.unusuallyShort(100));
}

TEST_CASE("the usual size holds when a fifth of the answers are errors") {
  AnswerSize Sizes;
  for (int I = 0; I < 5000; ++I)
    Sizes.add(I % 5 == 0 ? 170 : 2000);
  CHECK(Sizes.unusuallyShort(170));
}

TEST_CASE("the shorter answers of a new release become the usual size") {
  AnswerSize Sizes;
  for (int I = 0; I < 500; ++I)
    Sizes.add(4000);
  CHECK(Sizes.unusuallyShort(300));
  for (int I = 0; I < 500; ++I)
    Sizes.add(300);
  CHECK_FALSE(Sizes.unusuallyShort(300));
}
