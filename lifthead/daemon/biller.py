"""From a request in hand to its entry, and from entries to budgets: what the daemon's host calls."""

from lifthead.daemon.requests import ChatRequest
from lifthead.ledger.entries import Usage, usage_entry
from lifthead.ledger.keeper import LedgerWriter
from lifthead.ledger.quota import Quota


class Biller:
    def __init__(self, keeper: LedgerWriter, quota: Quota) -> None:
        self._keeper, self._quota = keeper, quota
        self._tenants: list[str] = []
        self._period = ""

    def take_up(self, tenants: list[str]) -> None:
        """Tenants with budgets; what they have used of the period is in the ledger."""
        self._tenants = tenants
        self._turn()

    def _turn(self) -> None:
        period = self._keeper.period()
        if period != self._period:
            self._period = period
            used = {tenant: self._keeper.journal.book.tokens_used(period, tenant) for tenant in self._tenants}
            self._quota.start_period(period, used)

    def shares(self) -> dict[str, float]:
        """The part of its share of requests that each tenant with a budget has now."""
        self._turn()
        return {tenant: self._quota.share(tenant) for tenant in self._tenants}

    async def done(self, pending: ChatRequest) -> None:
        pending.billed = True
        entry = self._entry(pending, "done")
        self._settle(pending, entry)
        await self._keeper.append_and_wait(entry)

    def over(self, pending: ChatRequest) -> None:
        if not pending.billed:
            pending.billed = True
            entry = self._entry(pending, pending.ended)
            self._settle(pending, entry)
            self._keeper.append(entry)

    def _settle(self, pending: ChatRequest, entry: Usage) -> None:
        most = pending.asked.prompt + pending.asked.max_out
        self._quota.settle(pending.asked.tenant, most, entry.billed_prompt + entry.billed_answer)

    def _entry(self, pending: ChatRequest, ended: str) -> Usage:
        asked = pending.asked
        return usage_entry(
            request_id=pending.name,
            at=self._keeper.now(),
            period=self._keeper.period(),
            tenant=asked.tenant,
            group=asked.group,
            ended=ended,
            first_token_sent=pending.reply.begun and pending.sent_tokens > 0,
            prompt=asked.prompt,
            kept=pending.kept,
            sent=pending.sent_tokens,
            made=pending.made,
            forwards=pending.sent,
            resumes=pending.legs,
            read_anew=pending.read_anew,
        )
