package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken

/** Increments tokens by one; for an object store that loses nothing it has acknowledged. */
object SequentialFencingTokens : FencingTokenSource {
    override fun after(highest: FencingToken): FencingToken = FencingToken(highest.value + 1)
}
