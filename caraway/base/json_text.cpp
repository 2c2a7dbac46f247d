// Builds JSON values from the events of the library's reader. The library's own
// callbacks, which could bound the depth as well, search the whole list around
// each object that ends.

#include "caraway/base/json_text.h"

#include <set>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace caraway {

namespace {

using Json = nlohmann::json;

class JsonBuilder final : public nlohmann::json_sax<Json>
{
public:
  JsonBuilder(const JsonBounds& aBounds, const JsonElementHandler& aOnElement)
    : mBounds(aBounds)
    , mOnElement(aOnElement)
  {
  }

  // The value, once the whole text was read.
  Json Take() { return std::move(mRoot); }

  bool null() override { return AddScalar(nullptr); }
  bool boolean(bool aValue) override { return AddScalar(aValue); }
  bool number_integer(number_integer_t aValue) override
  {
    return AddScalar(aValue);
  }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    return AddScalar(aValue);
  }
  bool number_float(number_float_t aValue, const string_t& /*aText*/) override
  {
    return AddScalar(aValue);
  }
  bool string(string_t& aValue) override
  {
    return AddScalar(std::move(aValue));
  }
  bool binary(binary_t& /*aValue*/) override { return false; }
  bool start_object(std::size_t /*aSize*/) override
  {
    return Open(Json::object());
  }
  bool start_array(std::size_t /*aSize*/) override
  {
    return Open(Json::array());
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& aName) override
  {
    if (mOpen.size() == 1) {
      mRootMember = aName;
    }
    mMember = &(*mOpen.back())[std::move(aName)];
    return true;
  }
  bool parse_error(std::size_t /*aAt*/,
                   const std::string& /*aToken*/,
                   const Json::exception& /*aError*/) override
  {
    return false;
  }

private:
  // Null if there are too many values.
  Json* Add(Json aValue)
  {
    if (++mValues > mBounds.mMaxValues || ++mHeld > mBounds.mMaxHeld) {
      return nullptr;
    }
    if (mOpen.empty()) {
      mRoot = std::move(aValue);
      return &mRoot;
    }
    if (mOpen.back()->is_array()) {
      return &mOpen.back()->emplace_back(std::move(aValue));
    }
    *mMember = std::move(aValue);
    return mMember;
  }

  bool AddScalar(Json aValue)
  {
    return Add(std::move(aValue)) != nullptr && PassOnElement();
  }

  bool Open(Json aValue)
  {
    const bool isList = aValue.is_array() && mOpen.size() == 1 &&
                        mOpen.front()->is_object() && mOnElement;
    if (mOpen.size() >= kMaxJsonDepth ||
        (isList && !mLists.insert(mRootMember).second)) {
      return false;
    }
    Json* added = Add(std::move(aValue));
    if (added == nullptr) {
      return false;
    }
    mOpen.push_back(added);
    if (isList) {
      mHeldOutside = mHeld;
    }
    return true;
  }

  bool Close()
  {
    mOpen.pop_back();
    return PassOnElement();
  }

  // Passes on the value that ended last if it is an element of a list.
  bool PassOnElement()
  {
    if (!mOnElement || mOpen.size() != 2 || !mOpen.front()->is_object() ||
        !mOpen.back()->is_array()) {
      return true;
    }
    auto& list = mOpen.back()->get_ref<Json::array_t&>();
    const bool goesOn = mOnElement(mRootMember, list.back());
    list.pop_back();
    mHeld = mHeldOutside;
    return goesOn;
  }

  JsonBounds mBounds;
  const JsonElementHandler& mOnElement;
  size_t mValues = 0;
  size_t mHeld = 0;        // of them, not passed on yet
  size_t mHeldOutside = 0; // of them, outside the list that is open
  Json mRoot;
  // The objects and arrays that have not ended, outermost first. Each is the
  // newest value of the one before, so that none of them is moved.
  std::vector<Json*> mOpen;
  Json* mMember = nullptr;      // of the innermost object, gets the next value
  std::string mRootMember;      // name of the newest member of the outermost
  std::set<std::string> mLists; // names of its members that are arrays
};

} // namespace

nlohmann::json
ParseJson(std::string_view aText, size_t aMaxValues)
{
  return ParseJsonLists(aText, { aMaxValues, aMaxValues }, {});
}

nlohmann::json
ParseJsonLists(std::string_view aText,
               const JsonBounds& aBounds,
               const JsonElementHandler& aOnElement)
{
  JsonBuilder builder(aBounds, aOnElement);
  return Json::sax_parse(aText.begin(), aText.end(), &builder)
           ? builder.Take()
           : Json(Json::value_t::discarded);
}

} // namespace caraway
