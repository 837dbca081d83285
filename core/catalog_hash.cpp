#include "core/catalog_hash.h"

#include <string>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Hashes typed fields with a streaming xxHash state. */
class FieldHasher
{
public:
    explicit FieldHasher(EntityKind kind) : state_(XXH64_createState())
    {
        XXH64_reset(state_, 0);
        add(static_cast<std::uint64_t>(kind));
    }

    ~FieldHasher() { XXH64_freeState(state_); }

    FieldHasher(const FieldHasher &) = delete;
    FieldHasher &operator=(const FieldHasher &) = delete;

    void add(std::uint64_t value) { XXH64_update(state_, &value, sizeof value); }

    void add(const std::string &text)
    {
        add(static_cast<std::uint64_t>(text.size()));
        XXH64_update(state_, text.data(), text.size());
    }

    void add(Duration duration) { add(static_cast<std::uint64_t>(duration.count())); }

    template<typename Tag>
    void add(const Name<Tag> &name)
    {
        add(name.text());
    }

    template<typename Element>
    void add(const std::vector<Element> &elements)
    {
        add(static_cast<std::uint64_t>(elements.size()));
        for (const Element &element : elements) {
            add(element);
        }
    }

    std::uint64_t digest() const { return XXH64_digest(state_); }

private:
    XXH64_state_t *state_;
};

} // namespace

std::uint64_t hashEntity(const RequestClass &entity)
{
    FieldHasher hasher(EntityKind::RequestClass);
    hasher.add(entity.name);
    hasher.add(std::uint64_t(entity.tier));
    hasher.add(std::uint64_t(entity.idempotent));
    hasher.add(entity.firstTokenTarget);
    hasher.add(entity.tokenGapTarget);
    hasher.add(entity.defaultDeadline);
    hasher.add(std::uint64_t(entity.guaranteedPerMille));
    hasher.add(std::uint64_t(entity.preemptible));
    return hasher.digest();
}

std::uint64_t hashEntity(const Team &entity)
{
    FieldHasher hasher(EntityKind::Team);
    hasher.add(entity.name);
    hasher.add(std::uint64_t(entity.weight));
    hasher.add(std::uint64_t(entity.maxInFlight));
    hasher.add(entity.keyHashes);
    hasher.add(entity.classes);
    return hasher.digest();
}

std::uint64_t hashEntity(const Model &entity)
{
    FieldHasher hasher(EntityKind::Model);
    hasher.add(entity.name);
    hasher.add(entity.version);
    hasher.add(entity.adapter);
    return hasher.digest();
}

std::uint64_t hashEntity(const Pool &entity)
{
    FieldHasher hasher(EntityKind::Pool);
    hasher.add(entity.name);
    hasher.add(entity.model);
    hasher.add(entity.service);
    hasher.add(std::uint64_t(entity.minimumReady));
    hasher.add(std::uint64_t(entity.maxLoading));
    return hasher.digest();
}

std::uint64_t hashEntity(const Upstream &entity)
{
    FieldHasher hasher(EntityKind::Upstream);
    hasher.add(entity.name);
    hasher.add(entity.pool);
    hasher.add(entity.dataCenter);
    hasher.add(entity.address);
    hasher.add(std::uint64_t(entity.seats));
    hasher.add(std::uint64_t(entity.checksFence));
    hasher.add(std::uint64_t(entity.leaving));
    hasher.add(entity.role);
    return hasher.digest();
}

} // namespace GeraniumLever
