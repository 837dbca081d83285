#include "drivers/store/vm_list_codec.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

TEST(VmListCodecTest, DecodesNodesAndUpstreams)
{
    const std::optional<VmList> list = decodeVmList(
        R"({"vms":[{"name":"entry-1","address":"127.0.1.1:7000","data_center":"cm-a","kind":"node","state":"live"},)"
        R"({"name":"gpu-1","address":"127.0.2.1:80","data_center":"cm-b","kind":"upstream","state":"leaving"}]})");
    ASSERT_TRUE(list.has_value());
    const std::vector<VmEntry> expected = { { "entry-1", "127.0.1.1:7000", DataCenterName("cm-a"), true, false },
                                            { "gpu-1", "127.0.2.1:80", DataCenterName("cm-b"), false, true } };
    EXPECT_EQ(list->entries, expected);
}

TEST(VmListCodecTest, RejectsAListWithAMalformedEntry)
{
    EXPECT_FALSE(decodeVmList(R"({"vms":[{"name":"entry-1"}]})").has_value());
    EXPECT_FALSE(decodeVmList("[]").has_value());
}

} // namespace
} // namespace GeraniumLever
