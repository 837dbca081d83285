/** Message body that appends the received bytes without reserving the size that Content-Length announces. */
#pragma once

#include <string>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace GeraniumLever {

/** Body type for Beast's parsers. The value may be moved out between two reads. */
struct AppendBody
{
    using value_type = std::string;

    class reader // NOLINT(readability-identifier-naming): Beast requires this name.
    {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields> &, value_type &body) : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &, boost::beast::error_code &error) { error = {}; }

        template<class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, boost::beast::error_code &error)
        {
            error = {};
            std::size_t bytes = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char *>(buffer.data()), buffer.size());
                bytes += buffer.size();
            }
            return bytes;
        }

        void finish(boost::beast::error_code &error) { error = {}; }

    private:
        value_type &body_;
    };
};

} // namespace GeraniumLever
