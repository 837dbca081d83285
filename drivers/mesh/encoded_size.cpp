#include "drivers/mesh/mesh.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "drivers/mesh/message_codec.h"

namespace GeraniumLever {

std::size_t encodedBytes(const PeerMessage &message)
{
    capnp::MallocMessageBuilder builder;
    writeMessage(message, builder.initRoot<Wire::Message>());
    return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

} // namespace GeraniumLever
