// JSON schema of the settings document: structure, ranges and allowed values. The meaning of the
// fields is documented in docs/operate/gateway.md.
#include "gateway_settings.hpp"

namespace deckcart {

const nlohmann::json &settingsSchema() {
    static const nlohmann::json schema = nlohmann::json::parse(R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of a deckcart gateway; times in whole milliseconds",
  "definitions": {
    "ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
    "longMs": {"type": "integer", "minimum": 1, "maximum": 604800000},
    "count": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "part": {"type": "number", "minimum": 0, "maximum": 1},
    "word": {"type": "string", "minLength": 1, "maxLength": 100},
    "address": {"type": "string", "pattern": "^[^ ]+:[0-9]{1,5}$"}
  },
  "type": "object", "additionalProperties": false, "required": ["gateway", "routes"],
  "properties": {
    "gateway": {"type": "object", "additionalProperties": false, "required": ["id"], "properties": {
      "id": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
      "count": {"type": "integer", "minimum": 1, "maximum": 65536},
      "zone": {"$ref": "#/definitions/word"},
      "seed": {"type": "integer", "minimum": 0}}},
    "zones": {"type": "array", "maxItems": 64, "items": {"$ref": "#/definitions/word"}},
    "desk": {"type": "object", "additionalProperties": false, "required": ["address"], "properties": {
      "address": {"$ref": "#/definitions/address"},
      "answerWithinMs": {"$ref": "#/definitions/ms"},
      "silentForMs": {"$ref": "#/definitions/ms"}}},
    "sources": {"type": "object", "additionalProperties": false, "properties": {
      "precedence": {"type": "array", "maxItems": 3, "items": {"enum": ["desk", "nodes", "srv"]}},
      "deskList": {"type": "boolean"},
      "nodes": {"type": "array", "maxItems": 4096, "items": {
        "type": "object", "additionalProperties": false, "required": ["address", "build"], "properties": {
          "address": {"$ref": "#/definitions/address"}, "build": {"type": "integer", "minimum": 0},
          "zone": {"$ref": "#/definitions/word"}, "cell": {"type": "integer", "minimum": 0},
          "weight": {"type": "number", "minimum": 0.001, "maximum": 1000}}}},
      "srv": {"type": "object", "additionalProperties": false, "required": ["names", "servers"], "properties": {
        "names": {"type": "array", "minItems": 1, "maxItems": 64, "items": {
          "type": "object", "additionalProperties": false, "required": ["name", "build"], "properties": {
            "name": {"type": "string", "minLength": 1, "maxLength": 254},
            "build": {"type": "integer", "minimum": 0}, "zone": {"$ref": "#/definitions/word"},
            "cell": {"type": "integer", "minimum": 0}}}},
        "servers": {"type": "array", "minItems": 1, "maxItems": 8, "items": {"$ref": "#/definitions/address"}},
        "lifetimeFloorMs": {"$ref": "#/definitions/longMs"}, "lifetimeCeilingMs": {"$ref": "#/definitions/longMs"},
        "negativeCeilingMs": {"$ref": "#/definitions/longMs"},
        "questionsASecond": {"type": "number", "minimum": 1, "maximum": 100000},
        "questionsInFlight": {"type": "integer", "minimum": 1, "maximum": 1024}}},
      "longestStalenessMs": {"$ref": "#/definitions/longMs"},
      "confirmShare": {"$ref": "#/definitions/part"}, "confirmAfterMs": {"$ref": "#/definitions/longMs"},
      "graceMs": {"$ref": "#/definitions/longMs"},
      "reserveBelow": {"type": "integer", "minimum": 1, "maximum": 10000},
      "reserveUntil": {"type": "integer", "minimum": 1, "maximum": 10000}}},
    "routes": {"type": "array", "minItems": 1, "maxItems": 64, "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "pathPrefix", "effect", "latencyObjectiveMs", "routeTimeoutMs"], "properties": {
        "name": {"$ref": "#/definitions/word"},
        "method": {"type": "string", "pattern": "^[A-Z]{1,20}$"},
        "pathPrefix": {"type": "string", "pattern": "^/"},
        "effect": {"enum": ["retriable", "deduped", "non-retriable"]},
        "group": {"enum": ["all", "zone", "cell"]},
        "repeatWindowMs": {"$ref": "#/definitions/ms"},
        "latencyObjectiveMs": {"$ref": "#/definitions/ms"},
        "routeTimeoutMs": {"$ref": "#/definitions/ms"}}}},
    "accounts": {"type": "array", "maxItems": 4096, "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "share"], "properties": {
        "name": {"$ref": "#/definitions/word"}, "share": {"$ref": "#/definitions/part"}}}},
    "headers": {"type": "object", "additionalProperties": false, "properties": {
      "key": {"$ref": "#/definitions/word"}, "account": {"$ref": "#/definitions/word"},
      "remaining": {"$ref": "#/definitions/word"},
      "reqId": {"$ref": "#/definitions/word"}, "full": {"$ref": "#/definitions/word"},
      "load": {"$ref": "#/definitions/word"}}},
    "allowed": {"type": "object", "additionalProperties": false, "properties": {
      "copies": {"type": "boolean"}, "cancel": {"type": "boolean"},
      "mostTries": {"type": "integer", "minimum": 1, "maximum": 32},
      "longestRetryAfterMs": {"$ref": "#/definitions/ms"},
      "askWithinMs": {"$ref": "#/definitions/ms"},
      "crossZoneFee": {"type": "number", "minimum": 0, "maximum": 10},
      "inHandField": {"type": "integer", "minimum": -1, "maximum": 15}}},
    "rules": {"type": "object", "additionalProperties": false, "properties": {
      "coldFrom": {"$ref": "#/definitions/part"}, "warmWithinMs": {"$ref": "#/definitions/ms"},
      "tipMultiple": {"type": "number", "minimum": 1, "maximum": 100},
      "overloadForMs": {"$ref": "#/definitions/ms"}}},
    "release": {"type": "object", "additionalProperties": false, "properties": {
      "gate": {"enum": ["first-vote", "by-count", "clock"]},
      "replacedInPlace": {"type": "boolean"}, "exposurePerRoute": {"type": "boolean"},
      "keysStay": {"type": "boolean"}, "guardedStages": {"type": "integer", "minimum": 0, "maximum": 100},
      "spareTries": {"type": "number", "minimum": 0, "maximum": 1000},
      "exposureSpanMs": {"$ref": "#/definitions/ms"},
      "caps": {"type": "array", "minItems": 1, "maxItems": 100, "items": {"$ref": "#/definitions/part"}},
      "shares": {"type": "array", "minItems": 1, "maxItems": 100, "items": {"$ref": "#/definitions/part"}},
      "voteLifeMs": {"$ref": "#/definitions/ms"}, "voteAnswerWithinMs": {"$ref": "#/definitions/ms"},
      "votesToGoBack": {"type": "integer", "minimum": 1, "maximum": 65536},
      "wrongReported": {"$ref": "#/definitions/part"}}},
    "limits": {"type": "object", "additionalProperties": false, "properties": {
      "clientConnections": {"$ref": "#/definitions/count"}, "reqsInHand": {"$ref": "#/definitions/count"},
      "headBytes": {"type": "integer", "minimum": 256, "maximum": 65536},
      "bodyBytes": {"type": "integer", "minimum": 0, "maximum": 67108864},
      "pipelinedBytes": {"type": "integer", "minimum": 1024, "maximum": 1048576},
      "waitingBytes": {"type": "integer", "minimum": 4096, "maximum": 67108864},
      "messageWithinMs": {"$ref": "#/definitions/ms"}, "clientIdleMs": {"$ref": "#/definitions/ms"},
      "slowPeerMs": {"$ref": "#/definitions/ms"}, "answerMarginMs": {"$ref": "#/definitions/ms"},
      "standstillMs": {"$ref": "#/definitions/ms"}}},
    "upstream": {"type": "object", "additionalProperties": false, "properties": {
      "connections": {"$ref": "#/definitions/count"}, "connectWithinMs": {"$ref": "#/definitions/ms"},
      "idleMs": {"$ref": "#/definitions/ms"}, "stalledMs": {"$ref": "#/definitions/ms"},
      "heldAnswerBytes": {"type": "integer", "minimum": 0, "maximum": 16777216},
      "probeWithinMs": {"$ref": "#/definitions/ms"},
      "probePath": {"type": "string", "pattern": "^/[!-~]*$"}}},
    "logs": {"type": "object", "additionalProperties": false, "properties": {
      "reqSample": {"$ref": "#/definitions/part"}}}
  }
})json");
    return schema;
}

}  // namespace deckcart
