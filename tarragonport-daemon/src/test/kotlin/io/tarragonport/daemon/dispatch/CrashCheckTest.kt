package io.tarragonport.daemon.dispatch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.tarragonport.api.backend.BackendFailure
import io.tarragonport.api.backend.BackendServerClient
import io.tarragonport.api.backend.LoadReport
import io.tarragonport.api.id.BackendServerId
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import java.lang.reflect.Proxy
import kotlin.test.assertEquals

/** Guards against an undetected crash when the crashing engine still responds to the first load request. */
class CrashCheckTest {
    private val refused: Either<BackendFailure, LoadReport> = BackendFailure.NotSent("refused").left()
    private val broken: Either<BackendFailure, LoadReport> = BackendFailure.Interrupted("closed").left()
    private val responded: Either<BackendFailure, LoadReport> = LoadReport(BackendServerId("e"), 0, 0, 0).right()

    @Test
    fun `an engine that refuses connections at the first or second check has crashed`() =
        runTest {
            val cases =
                listOf(
                    listOf(refused) to true,
                    listOf(broken, refused) to true,
                    listOf(responded, refused) to true,
                    listOf(responded, responded) to false,
                    listOf(broken, responded) to false,
                )
            for ((responses, crashed) in cases) {
                val remaining = responses.toMutableList()
                val check = CrashCheck(client { remaining.removeFirst() })
                assertEquals(crashed, check.hasCrashed("http://127.0.0.1:1"), "$responses")
            }
        }

    /** A client that supports only load requests. */
    private fun client(load: () -> Either<BackendFailure, LoadReport>): BackendServerClient =
        Proxy.newProxyInstance(javaClass.classLoader, arrayOf(BackendServerClient::class.java)) { _, method, _ ->
            check(method.name.startsWith("load")) { "${method.name} is not expected" }
            load()
        } as BackendServerClient
}
