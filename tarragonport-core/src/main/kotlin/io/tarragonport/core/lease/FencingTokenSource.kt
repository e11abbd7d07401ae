package io.tarragonport.core.lease

import io.tarragonport.api.id.FencingToken

/** Chooses the fencing token of a lease that is acquired. */
interface FencingTokenSource {
    /** A token higher than [highest], the highest one that this process knows. */
    fun after(highest: FencingToken): FencingToken
}
