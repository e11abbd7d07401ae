package io.tarragonport.client.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.tarragonport.api.id.RequestId
import io.tarragonport.api.status.DecisionTrace
import io.tarragonport.client.ClientContext
import io.tarragonport.client.ClientError
import io.tarragonport.client.ExitStatus
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.kohsuke.args4j.Argument

/** `explain REQUEST_ID`: fetches the decisions about one request from every VM that has reported its status. */
class ExplainCommand : PlatformCommand() {
    @Argument(
        index = 0,
        required = true,
        metaVar = "REQUEST_ID",
        usage = "id of the request, the value of its X-Request-Id header",
    )
    var request: String = ""

    override val summary = "show the decisions about one request"

    override suspend fun run(context: ClientContext): Either<ClientError, Unit> =
        either {
            val status = FleetStatus.read(context.store).bind()
            val results = queryVms(context, status)
            val traces = results.mapNotNull { it.getOrNull() }
            traces.flatMap(::lines).forEach(context.output::println)
            val failures = results.mapNotNull { it.leftOrNull() }
            ensure(traces.isNotEmpty()) {
                val reason =
                    "found no decisions about request \"$request\" on the ${status.vms.size} VMs " +
                        "that report their status"
                ClientError(ExitStatus.FAILURE, listOf(reason) + failures)
            }
        }

    private suspend fun queryVms(
        context: ClientContext,
        status: FleetStatus,
    ): List<Either<String, DecisionTrace?>> =
        coroutineScope {
            status.vms
                .map { vm -> async { context.traceClient.trace(vm.callerAddress, RequestId(request)) } }
                .awaitAll()
        }

    private fun lines(trace: DecisionTrace): List<String> =
        trace.steps.map { "${trace.vm}  +${it.atMs} ms  ${it.event} ${it.name}  ${it.detail}" }
}
