#include "drivers/store/store.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "drivers/http/http.h"
#include "drivers/store/table_codec.h"
#include "drivers/store/vm_list_codec.h"

namespace GeraniumLever {

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpSuccessEnd = 300;
constexpr unsigned HttpNotFound = 404;
constexpr std::string_view ObjectFolder = "/geranium/";
constexpr std::string_view TargetPrefix = "DynamoDB_20120810.";

HttpRequest tableRequest(const StoreSettings &settings, std::string_view operation, std::string body)
{
    HttpRequest request;
    request.address = settings.tableAddress;
    request.method = "POST";
    request.headers = { { "x-amz-target", std::string(TargetPrefix) + std::string(operation) },
                        { "content-type", "application/x-amz-json-1.0" } };
    request.body = std::move(body);
    request.timeout = settings.timeout;
    return request;
}

HttpRequest objectRequest(const StoreSettings &settings, std::string_view method, const std::string &name)
{
    HttpRequest request;
    request.address = settings.objectAddress;
    request.method = std::string(method);
    request.target = std::string(ObjectFolder) + name;
    request.timeout = settings.timeout;
    return request;
}

bool isSuccess(unsigned status)
{
    return status >= HttpOk && status < HttpSuccessEnd;
}

StoreStatus writeFailure(HttpFailure failure)
{
    return failure == HttpFailure::NotSent ? StoreStatus::Unavailable : StoreStatus::Ambiguous;
}

StoreResult unavailableResult(OperationId operation)
{
    return { operation, StoreStatus::Unavailable, {}, std::nullopt };
}

StoreResult transactionResult(OperationId operation, const HttpResult &result)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
        return { operation, writeFailure(std::get<HttpFailure>(result)), {}, std::nullopt };
    }
    return { operation, writeStatus(response->status, response->body), {}, std::nullopt };
}

StoreResult getResult(OperationId operation, const HttpResult &result)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || readStatus(response->status) != StoreStatus::Done) {
        return unavailableResult(operation);
    }
    std::optional<std::vector<TableRow>> rows = decodeGet(response->body);
    if (!rows) {
        LOG(WARNING) << "the table service sent a malformed response to a read";
        return unavailableResult(operation);
    }
    return { operation, StoreStatus::Done, std::move(*rows), std::nullopt };
}

StoreResult objectPutResult(OperationId operation, const HttpResult &result)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
        return { operation, writeFailure(std::get<HttpFailure>(result)), {}, std::nullopt };
    }
    const StoreStatus status =
        isSuccess(response->status) ? StoreStatus::Done : writeStatus(response->status, response->body);
    return { operation, status, {}, std::nullopt };
}

StoreResult objectGetResult(OperationId operation, const HttpResult &result)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    if (response == nullptr) {
        return unavailableResult(operation);
    }
    if (response->status == HttpNotFound) {
        return { operation, StoreStatus::Done, {}, std::nullopt };
    }
    if (response->status != HttpOk) {
        return unavailableResult(operation);
    }
    return { operation, StoreStatus::Done, {}, response->body };
}

} // namespace

/** Handlers of pending requests hold weak pointers to it and do nothing once the client is destroyed. */
struct StoreClient::State : public std::enable_shared_from_this<StoreClient::State>
{
    State(StoreSettings storeSettings, boost::asio::io_context &context, Sink eventSink)
        : settings(std::move(storeSettings)), sink(std::move(eventSink)), http(context), vmListTimer(context)
    {
    }

    using Decoder = StoreResult (*)(OperationId, const HttpResult &);

    void send(HttpRequest request, OperationId operation, Decoder decode)
    {
        http.send(std::move(request), [weak = weak_from_this(), operation, decode](const HttpResult &result) {
            if (const std::shared_ptr<State> self = weak.lock()) {
                self->sink(decode(operation, result));
            }
        });
    }

    /** Requests the next page of a scan. `rows` holds the rows of the previous pages. */
    void scanPage(const TableScan &scan, std::vector<TableRow> rows)
    {
        HttpRequest request = tableRequest(settings, "Query", encodeScan(scan, scan.limit - rows.size()));
        http.send(std::move(request),
                  [weak = weak_from_this(), scan, rows = std::move(rows)](const HttpResult &result) mutable {
                      if (const std::shared_ptr<State> self = weak.lock()) {
                          self->scanPageReceived(std::move(scan), std::move(rows), result);
                      }
                  });
    }

    void scanPageReceived(TableScan scan, std::vector<TableRow> rows, const HttpResult &result)
    {
        const HttpResponse *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr || readStatus(response->status) != StoreStatus::Done) {
            sink(unavailableResult(scan.operation));
            return;
        }
        const std::optional<ScanPage> page = decodeScan(response->body);
        if (!page) {
            LOG(WARNING) << "the table service sent a malformed response to a scan";
            sink(unavailableResult(scan.operation));
            return;
        }
        rows.insert(rows.end(), page->rows.begin(), page->rows.end());
        if (!page->more || page->rows.empty() || rows.size() >= scan.limit) {
            sink(StoreResult { scan.operation, StoreStatus::Done, std::move(rows), std::nullopt });
            return;
        }
        scan.after = rows.back().key;
        scanPage(scan, std::move(rows));
    }

    void readVmList()
    {
        HttpRequest request;
        request.address = settings.vmListAddress;
        request.target = "/vms";
        request.timeout = settings.timeout;
        http.send(std::move(request), [weak = weak_from_this()](const HttpResult &result) {
            if (const std::shared_ptr<State> self = weak.lock()) {
                self->vmListResponseReceived(result);
            }
        });
    }

    void vmListResponseReceived(const HttpResult &result)
    {
        const HttpResponse *response = std::get_if<HttpResponse>(&result);
        if (response != nullptr && response->status == HttpOk) {
            std::optional<VmList> list = decodeVmList(response->body);
            if (list) {
                sink(std::move(*list));
            } else {
                LOG(WARNING) << "the platform sent a malformed VM list";
            }
        }
        vmListTimer.expires_after(settings.vmListPeriod);
        vmListTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<State> self = weak.lock();
            if (!error && self) {
                self->readVmList();
            }
        });
    }

    StoreSettings settings;
    Sink sink;
    HttpClient http;
    boost::asio::steady_timer vmListTimer;
};

StoreClient::StoreClient(StoreSettings settings, boost::asio::io_context &context, Sink sink)
    : state_(std::make_shared<State>(std::move(settings), context, std::move(sink)))
{
}

StoreClient::~StoreClient() = default;

void StoreClient::start()
{
    state_->readVmList();
}

void StoreClient::run(const TableTransaction &transaction)
{
    state_->send(tableRequest(state_->settings, "TransactWriteItems", encodeTransaction(transaction)),
                 transaction.operation,
                 transactionResult);
}

void StoreClient::run(const TableGet &get)
{
    state_->send(tableRequest(state_->settings, "TransactGetItems", encodeGet(get)), get.operation, getResult);
}

void StoreClient::run(const TableScan &scan)
{
    state_->scanPage(scan, {});
}

void StoreClient::run(const ObjectPut &put)
{
    HttpRequest request = objectRequest(state_->settings, "PUT", put.name);
    request.body = put.content;
    state_->send(std::move(request), put.operation, objectPutResult);
}

void StoreClient::run(const ObjectGet &get)
{
    state_->send(objectRequest(state_->settings, "GET", get.name), get.operation, objectGetResult);
}

} // namespace GeraniumLever
