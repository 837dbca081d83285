#include "review/support-2/http_exchange.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

/** Waits until the socket is ready for the events; false if it is too late. */
bool waitFor(int socket, short events, Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
    if (left.count() <= 0) {
        return false;
    }
    pollfd entry { socket, events, 0 };
    return poll(&entry, 1, static_cast<int>(left.count())) > 0;
}

int connectTo(const std::string &address, Clock::time_point until)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in peer {};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    fcntl(connection, F_SETFL, O_NONBLOCK);
    const int result = connect(connection, reinterpret_cast<const sockaddr *>(&peer), sizeof peer);
    int error = result == 0 ? 0 : errno;
    if (error == EINPROGRESS && waitFor(connection, POLLOUT, until)) {
        socklen_t size = sizeof error;
        getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
        ::close(connection);
        return -1;
    }
    return connection;
}

bool sendAll(int connection, const std::string &bytes, Clock::time_point until)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (errno != EAGAIN || !waitFor(connection, POLLOUT, until)) {
            return false;
        }
    }
    return true;
}

/** Takes whole chunks from the input; true once the last one has been taken. */
bool takeChunks(std::string &input, std::string &body)
{
    for (;;) {
        const std::size_t lineEnd = input.find("\r\n");
        if (lineEnd == std::string::npos) {
            return false;
        }
        const std::size_t size = std::stoul(input.substr(0, lineEnd), nullptr, 16);
        if (input.size() < lineEnd + 2 + size + 2) {
            return false;
        }
        body += input.substr(lineEnd + 2, size);
        input.erase(0, lineEnd + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

/** Interprets what has arrived; true once the answer is complete. */
bool interpret(std::string &input, Answer &answer)
{
    if (answer.status == 0) {
        const std::size_t headEnd = input.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return false;
        }
        answer.head = input.substr(0, headEnd + 2);
        answer.status = static_cast<unsigned>(std::stoul(answer.head.substr(9, 3)));
        input.erase(0, headEnd + 4);
    }
    if (lowered(answer.field("Transfer-Encoding")) == "chunked") {
        return takeChunks(input, answer.body);
    }
    answer.body += input;
    input.clear();
    const std::string length = answer.field("Content-Length");
    return !length.empty() && answer.body.size() >= std::stoul(length);
}

} // namespace

std::string Answer::field(const std::string &name) const
{
    const std::string text = lowered(head);
    const std::size_t found = text.find("\r\n" + lowered(name) + ":");
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t begin = head.find_first_not_of(' ', found + 2 + name.size() + 1);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

Answer exchange(const std::string &address, const std::string &request, std::chrono::milliseconds timeout)
{
    const Clock::time_point until = Clock::now() + timeout;
    Answer answer;
    const int connection = connectTo(address, until);
    if (connection < 0) {
        return answer;
    }
    std::string input;
    bool isOpen = sendAll(connection, request, until);
    while (isOpen && !answer.complete && waitFor(connection, POLLIN, until)) {
        char bytes[16 * 1024];
        const ssize_t count = recv(connection, bytes, sizeof bytes, 0);
        isOpen = count > 0 || (count < 0 && errno == EAGAIN);
        if (count > 0) {
            input.append(bytes, static_cast<std::size_t>(count));
            answer.complete = interpret(input, answer);
        }
    }
    answer.isClosed = !isOpen;
    ::close(connection);
    return answer;
}

} // namespace Review
