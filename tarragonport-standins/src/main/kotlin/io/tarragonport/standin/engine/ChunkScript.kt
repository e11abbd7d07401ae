package io.tarragonport.standin.engine

/** Computes the steps of one stream of an engine stand-in, with the stream faults applied. */
class ChunkScript(
    private val requestId: String,
    private val tokens: List<String>,
    private val faults: EngineFaults,
) {
    /** Steps of the stream, starting at token [start]. */
    fun steps(start: Int): List<ChunkStep> {
        val steps = mutableListOf<ChunkStep>()
        var index = start
        while (index < tokens.size) {
            index = append(steps, index)
        }
        if (faults.endsStreamAt(tokens.size)) steps.add(terminalStep(tokens.size))
        return steps
    }

    /** Appends the steps for the token at [index]; returns the index of the next token. */
    private fun append(
        steps: MutableList<ChunkStep>,
        index: Int,
    ): Int {
        if (faults.endsStreamAt(index)) {
            steps.add(terminalStep(index))
            return tokens.size
        }
        if (faults.skipAtToken == index) return index + 1
        if (faults.reorderAtToken == index && index + 1 < tokens.size) {
            steps.add(writeStep(index + 1))
            steps.add(writeStep(index))
            return index + 2
        }
        steps.add(writeStep(index))
        if (faults.duplicateAtToken == index) steps.add(writeStep(index))
        return index + 1
    }

    private fun EngineFaults.endsStreamAt(index: Int): Boolean =
        crashAtToken == index || cutAtToken == index || stallAtToken == index

    private fun terminalStep(index: Int): ChunkStep =
        when (index) {
            faults.crashAtToken -> ChunkStep.Crash
            faults.cutAtToken -> ChunkStep.Cut
            else -> ChunkStep.Stall
        }

    private fun writeStep(index: Int): ChunkStep {
        val id = if (faults.wrongIdAtToken == index) "$requestId-other" else requestId
        return ChunkStep.Write(id, index, tokens[index])
    }
}
