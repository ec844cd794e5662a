"""Writes a ledger entry for each request and applies the token budgets of tenants; called by the host."""

from lifthead.daemon.requests import PendingChatRequest
from lifthead.ledger.entries import Usage, usage_entry
from lifthead.ledger.quota import Quota
from lifthead.ledger.writer import LedgerWriter


class Billing:
    def __init__(self, writer: LedgerWriter, quota: Quota) -> None:
        self._writer, self._quota = writer, quota
        self._tenants: list[str] = []
        self._period = ""

    def set_tenants(self, tenants: list[str]) -> None:
        """Sets the tenants that have budgets; the ledger has what they used of the current period."""
        self._tenants = tenants
        self._follow_period()

    def _follow_period(self) -> None:
        period = self._writer.period()
        if period != self._period:
            self._period = period
            used = {tenant: self._writer.journal.book.tokens_used(period, tenant) for tenant in self._tenants}
            self._quota.start_period(period, used)

    def shares(self) -> dict[str, float]:
        """By tenant with a budget: the fraction of its request share that it may use now."""
        self._follow_period()
        return {tenant: self._quota.share(tenant) for tenant in self._tenants}

    async def record_complete(self, pending: PendingChatRequest) -> None:
        pending.billed = True
        entry = self._entry(pending, "done")
        self._settle(pending, entry)
        await self._writer.append_and_wait(entry)

    def record_ended(self, pending: PendingChatRequest) -> None:
        if not pending.billed:
            pending.billed = True
            entry = self._entry(pending, pending.final_answer)
            self._settle(pending, entry)
            self._writer.append(entry)

    def _settle(self, pending: PendingChatRequest, entry: Usage) -> None:
        reserved = pending.request.prompt_tokens + pending.request.max_answer_tokens
        self._quota.settle(pending.request.tenant, reserved, entry.billed_prompt + entry.billed_answer)

    def _entry(self, pending: PendingChatRequest, ended: str) -> Usage:
        request = pending.request
        return usage_entry(
            request_id=pending.name,
            at=self._writer.now(),
            period=self._writer.period(),
            tenant=request.tenant,
            group=request.request_class,
            ended=ended,
            first_token_sent=pending.reply.begun and pending.delivered_tokens > 0,
            prompt=request.prompt_tokens,
            kept=pending.cached_prompt_tokens,
            sent=pending.delivered_tokens,
            made=pending.generated_tokens,
            forwards=pending.attempts_sent,
            resumes=pending.resumes,
            read_anew=pending.recomputed_tokens,
        )
