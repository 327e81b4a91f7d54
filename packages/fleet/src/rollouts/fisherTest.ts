/** Responses and the bad ones among them. */
export interface AnswerCounts {
    readonly answers: number;
    readonly bad: number;
}

/**
 * Fisher's exact test, one-sided: it is exact for the few responses of a canary, where normal approximations aren't.
 *
 * @param candidate - Responses of one side.
 * @param baseline - Responses of the other side.
 * @returns The probability of at least as many bad responses on the first side if both sides are equally bad.
 */
export function getExcessProbability(candidate: AnswerCounts, baseline: AnswerCounts): number {
    const bad = candidate.bad + baseline.bad;
    const total = candidate.answers + baseline.answers;
    const most = Math.min(bad, candidate.answers);
    const logAll = logChoose(total, candidate.answers);
    let probability = 0;
    for (let count = candidate.bad; count <= most; count += 1) {
        const rest = candidate.answers - count;
        if (rest <= total - bad) {
            probability += Math.exp(logChoose(bad, count) + logChoose(total - bad, rest) - logAll);
        }
    }
    return Math.min(1, probability);
}

function logChoose(total: number, chosen: number): number {
    return logFactorial(total) - logFactorial(chosen) - logFactorial(total - chosen);
}

/** Logarithms of the factorials computed so far. */
const logFactorials = [0];
/** Stirling's series is exact to ten digits from here. */
const MAX_TABULATED = 4_096;

function logFactorial(value: number): number {
    if (value > MAX_TABULATED) {
        return value * Math.log(value) - value + Math.log(2 * Math.PI * value) / 2 + 1 / (12 * value);
    }
    for (let next = logFactorials.length; next <= value; next += 1) {
        logFactorials.push((logFactorials[next - 1] ?? 0) + Math.log(next));
    }
    return logFactorials[value] ?? 0;
}
