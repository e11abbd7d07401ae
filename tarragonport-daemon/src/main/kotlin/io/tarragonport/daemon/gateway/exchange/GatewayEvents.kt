package io.tarragonport.daemon.gateway.exchange

import io.tarragonport.api.event.LogEvent

/** Log events of the gateway, 3000 to 3099. */
object GatewayEvents {
    val ENDED = LogEvent(3001, "gateway_request_ended", "a request ended; carries outcome, route and duration")
    val REFUSED = LogEvent(3002, "gateway_request_refused", "a request was refused before it was sent to a server")
    val MALFORMED = LogEvent(3003, "gateway_request_malformed", "a malformed request was refused")
    val SENT =
        LogEvent(3004, "gateway_request_sent", "a request was sent to a server; carries the inputs of the selection")
    val ATTEMPT_FAILED =
        LogEvent(
            3005,
            "gateway_attempt_failed",
            "an attempt ended without a usable response; carries whether it is retried",
        )
    val CALLER_CONNECTION_FAILED = LogEvent(3006, "caller_connection_failed", "the connection to a caller failed")
    val INPUT_DISCARDED =
        LogEvent(
            3007,
            "caller_input_discarded",
            "bytes arrived on a connection that the process was closing; carries the reason of the close",
        )
    val CONNECTIONS_CLOSED =
        LogEvent(
            3008,
            "caller_connections_closed",
            "idle connections were closed after the stop signal; carries their number and that of those in use",
        )
    val REQUESTS_ENDED =
        LogEvent(3009, "gateway_requests_ended", "the process ends; carries how many requests were not complete")
    val CONFIGURATION_APPLIED = LogEvent(3010, "gateway_configuration_applied", "a configuration was applied")
    val CONFIGURATION_REJECTED =
        LogEvent(3011, "gateway_configuration_rejected", "a configuration could not be decoded; the active one is kept")
    val SERVER_ADDED = LogEvent(3012, "server_registered", "a server registered or changed its entry")
    val SERVER_GONE = LogEvent(3013, "server_gone", "a server's entry was deleted or did not reappear after an outage")
    val SERVER_REJECTED = LogEvent(3014, "server_entry_rejected", "a server entry could not be decoded")
    val SERVERS_LISTED = LogEvent(3015, "servers_listed", "all registered servers were listed from the object store")
    val SERVER_LEAVING =
        LogEvent(3016, "server_leaving", "a response of a server said that it leaves; it gets no new requests")
    val DOMAINS_EVACUATED =
        LogEvent(
            3017,
            "domains_evacuated",
            "the operator requested or ended evacuations; carries the failure domains that get no new requests",
        )
    val SERVER_PAUSED =
        LogEvent(3018, "server_paused", "a server refused a request and named the time in which it wants no others")
    val PACE_BEGUN =
        LogEvent(
            3019,
            "server_pace_begun",
            "a server refused a request, did not respond in time or was not reached; carries the limit of this VM's requests",
        )
    val STORE_LOST = LogEvent(3020, "store_lost", "the platform's object store does not respond")
    val STORE_REGAINED = LogEvent(3021, "store_regained", "the platform's object store responds again")
    val HISTORY_GONE =
        LogEvent(
            3022,
            "store_history_gone",
            "the requested changes are no longer available; all objects are listed again",
        )
    val STORE_RESTORED =
        LogEvent(
            3023,
            "store_restored",
            "the object store reports a new era: it may have been restored from an older copy; carries the era",
        )
    val GATEWAY_STARTED = LogEvent(3030, "gateway_started", "the process started; carries its addresses")
    val GATEWAY_READY = LogEvent(3031, "gateway_ready", "a configuration and a server listing are available")
    val GATEWAY_DRAINING =
        LogEvent(3032, "gateway_draining", "a stop signal was received; requests in flight are completed")
    val GATEWAY_STOPPED =
        LogEvent(3033, "gateway_stopped", "the process ends; carries whether all requests were completed")
    val SETTINGS_RELOADED = LogEvent(3034, "settings_reloaded", "the settings file was read again")
    val SETTINGS_REJECTED =
        LogEvent(3035, "settings_rejected", "the settings file is unreadable or invalid; active settings are kept")
    val PART_FAILED = LogEvent(3036, "gateway_part_failed", "a control loop failed unexpectedly and is restarted")
    val USAGE_REPORTED = LogEvent(3040, "window_reported", "a usage window was reported")
    val USAGE_FAILED =
        LogEvent(3041, "window_report_failed", "a usage window could not be reported; it is retried until overdue")
    val SERVERS_ORDERED = LogEvent(3042, "servers_ordered", "a number of servers was ordered")
    val ORDER_FAILED = LogEvent(3043, "server_order_failed", "an order for servers was not accepted")
    val PEERS_CHANGED = LogEvent(3050, "peers_changed", "the set of live VMs changed")

    val RECORD_FAILED = LogEvent(3051, "vm_record_failed", "a VM's record could not be written or read")
    val SERVERS_ADOPTED =
        LogEvent(3052, "servers_adopted", "the server list of another VM is used; the object store is unavailable")
    val PRUNED =
        LogEvent(3053, "store_object_pruned", "an outdated object was deleted from the object store")
    val PRUNING_FAILED =
        LogEvent(3054, "store_pruning_failed", "an outdated object could not be deleted; it is retried")
    val REQUEST_BLOCKED =
        LogEvent(
            3060,
            "gateway_request_blocked",
            "a request is not sent, because servers crashed while they ran it or a part of its prompt; carries which",
        )
    val REQUEST_WAITS =
        LogEvent(
            3063,
            "gateway_request_waits",
            "no server may get a request now; carries its priority and how many requests wait on this VM",
        )
    val PACE_ENDED =
        LogEvent(
            3064,
            "server_pace_ended",
            "a server responds in time again; this VM's requests are not limited further",
        )
    val SERVER_CRASHED =
        LogEvent(
            3061,
            "gateway_server_crashed",
            "a server's connection ended during a request; carries whether it counts as a crash and the suspect parts",
        )

    val UNEXPECTED_INPUT =
        LogEvent(
            3062,
            "gateway_server_unexpected_input",
            "a connection to a server was closed because bytes arrived on it that belong to no request",
        )

    /** Every event of the gateway. */
    val ALL =
        listOf(
            ENDED,
            REFUSED,
            MALFORMED,
            SENT,
            ATTEMPT_FAILED,
            CALLER_CONNECTION_FAILED,
            INPUT_DISCARDED,
            CONNECTIONS_CLOSED,
            REQUESTS_ENDED,
            CONFIGURATION_APPLIED,
            CONFIGURATION_REJECTED,
            SERVER_ADDED,
            SERVER_GONE,
            SERVER_REJECTED,
            SERVERS_LISTED,
            SERVER_LEAVING,
            DOMAINS_EVACUATED,
            SERVER_PAUSED,
            PACE_BEGUN,
            STORE_LOST,
            STORE_REGAINED,
            HISTORY_GONE,
            STORE_RESTORED,
            GATEWAY_STARTED,
            GATEWAY_READY,
            GATEWAY_DRAINING,
            GATEWAY_STOPPED,
            SETTINGS_RELOADED,
            SETTINGS_REJECTED,
            PART_FAILED,
            USAGE_REPORTED,
            USAGE_FAILED,
            SERVERS_ORDERED,
            ORDER_FAILED,
            PEERS_CHANGED,
            RECORD_FAILED,
            SERVERS_ADOPTED,
            PRUNED,
            PRUNING_FAILED,
            REQUEST_BLOCKED,
            SERVER_CRASHED,
            UNEXPECTED_INPUT,
            REQUEST_WAITS,
            PACE_ENDED,
        )
}
