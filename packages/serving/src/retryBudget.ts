import { monotonicMs } from "@heatherline/common";

const RETRY_FRACTION = 0.1;
const MIN_RETRIES_PER_S = 1;
const MAX_AVAILABLE_RETRIES = 20;

interface Budget {
    availableRetries: number;
    updatedAtMs: number;
}

/**
 * Limits the retries of a service to a fraction of its requests plus a low constant rate, so that they do not overload
 * failing endpoints.
 */
export class RetryBudget {
    private readonly budgets = new Map<string, Budget>();

    /**
     * Records a first attempt, which adds to the budget.
     *
     * @param service - Its service.
     */
    recordRequest(service: string): void {
        const budget = this.getBudget(service);
        budget.availableRetries = Math.min(MAX_AVAILABLE_RETRIES, budget.availableRetries + RETRY_FRACTION);
    }

    /**
     * @param service - Service of a retry.
     * @returns Whether the budget allows the retry; if so, the retry is deducted.
     */
    tryTake(service: string): boolean {
        const budget = this.getBudget(service);
        const nowMs = monotonicMs();
        const earned = (nowMs - budget.updatedAtMs) / 1_000 * MIN_RETRIES_PER_S;
        budget.availableRetries = Math.min(MAX_AVAILABLE_RETRIES, budget.availableRetries + earned);
        budget.updatedAtMs = nowMs;
        if (budget.availableRetries < 1) {
            return false;
        }
        budget.availableRetries -= 1;
        return true;
    }

    private getBudget(service: string): Budget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            budget = { availableRetries: MAX_AVAILABLE_RETRIES / 2, updatedAtMs: monotonicMs() };
            this.budgets.set(service, budget);
        }
        return budget;
    }
}
