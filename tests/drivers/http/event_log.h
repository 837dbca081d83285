/** Records the events that an adapter reports. */
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

class EventLog
{
public:
    /** A sink that appends to this log, which must outlive it. */
    std::function<void(Event)> sink()
    {
        return [this](Event event) { events_.push_back(std::move(event)); };
    }

    const std::vector<Event> &events() const { return events_; }

    template<typename Type>
    std::vector<Type> all() const
    {
        std::vector<Type> found;
        for (const Event &event : events_) {
            if (const Type *match = std::get_if<Type>(&event)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    template<typename Type>
    std::size_t count() const
    {
        return all<Type>().size();
    }

    bool contains(const Event &event) const
    {
        return std::find(events_.begin(), events_.end(), event) != events_.end();
    }

private:
    std::vector<Event> events_;
};

} // namespace GeraniumLever
