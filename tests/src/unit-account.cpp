#include <gypsumdale/settings/account_table.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;

namespace {

Member member(const std::string &name, const std::vector<std::string> &keys)
{
    Member result;
    result.m_id = MemberId(name);
    for (const auto &key : keys)
        result.m_keyHashes.push_back(sha256Hex(key));
    return result;
}

} // namespace

TEST_CASE("hashes are those that the samples' README tells how to make", "[account]")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a key speaks for its member", "[account]")
{
    AccountTable accounts;
    accounts.set(member("huber", {"key-1", "key-2"}));
    accounts.set(member("keller", {"key-3"}));
    CHECK(valueOf(accounts.authenticate("key-2")) == MemberId("huber"));
    CHECK(valueOf(accounts.authenticate("key-3")) == MemberId("keller"));

    SECTION("new keys take the place of the old")
    {
        accounts.set(member("huber", {"key-4"}));
        CHECK_FALSE(succeeded(accounts.authenticate("key-1")));
        CHECK(valueOf(accounts.authenticate("key-4")) == MemberId("huber"));
    }
    SECTION("every refusal reads the same")
    {
        auto disabled = member("frei", {"key-5"});
        disabled.m_disabled = true;
        accounts.set(disabled);
        accounts.remove(MemberId("keller"));
        const auto unknown = errorOf(accounts.authenticate("nobody's"));
        CHECK(unknown.m_id == ErrorId::CredentialRefused);
        for (const char *key : {"", "key-3", "key-5", "key-1 "})
            CHECK(errorOf(accounts.authenticate(key)).m_text == unknown.m_text);
    }
    // Two members' settings contain the same key by mistake. If the first one in the table were
    // used, that member would pay for the other's requests, and could read the other's answers to
    // job queries.
    SECTION("a key of two members is nobody's")
    {
        accounts.set(member("frei", {"key-3"}));
        CHECK_FALSE(succeeded(accounts.authenticate("key-3")));
    }
}

TEST_CASE("operators are known by their hashes", "[account]")
{
    const OperatorTable operators({sha256Hex("one"), sha256Hex("two")});
    CHECK(succeeded(operators.authenticate("two")));
    CHECK(errorOf(operators.authenticate("three")).m_id == ErrorId::CredentialRefused);
    CHECK_FALSE(succeeded(OperatorTable({}).authenticate("")));
    CHECK_FALSE(succeeded(OperatorTable({"not a hash"}).authenticate("not a hash")));
}
