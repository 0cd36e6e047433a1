"""Decides on requests for the quotas that this node owns."""

from dogwoodgap import clock, routes
from dogwoodgap.quotas import ownership, windows
from dogwoodgap_wire import ttypes

METRIC_CUSTOMERS = 20
"""Customers with the largest quotas that have metrics of their own."""

OTHER_CUSTOMERS = "other"


class QuotaDecider:
    """Knows the quotas of the newest routes, and grants those that this node owns.

    Parameters
    ----------
    quota_ownership : ownership.QuotaOwnership
        Decides which quotas this node owns.

    Attributes
    ----------
    active_routes : routes.ActiveRoutes or None
        Routes in force on this node, if they may change without a request of a customer.
    newer : dict
        Version and quota of customers of which another node had newer routes than this one.
    """

    def __init__(self, quota_ownership: ownership.QuotaOwnership):
        self.ownership = quota_ownership
        self.active_routes: routes.ActiveRoutes | None = None
        self.table: routes.RouteTable | None = None
        self.quotas: dict[str, windows.Quota] = {}
        self.labels: frozenset[str] = frozenset()
        self.newer: dict[str, tuple[int, windows.Quota]] = {}

    def label(self, customer: str) -> str:
        """Return the label of a customer in metrics."""
        return customer if customer in self.labels else OTHER_CUSTOMERS

    def update_table(self, table: routes.RouteTable) -> None:
        """Apply a new version of the routes; counts stay as they are."""
        if table is self.table or (self.table and table.version < self.table.version):
            return
        self.table = table
        self.quotas = {
            name: windows.Quota(customer.rate_per_s, customer.burst, self.ownership.terms)
            for name, customer in table.customers.items()
            if customer.rate_per_s > 0.0
        }
        largest = sorted(self.quotas, key=lambda name: (-self.quotas[name].limit, name))
        self.labels = frozenset(largest[:METRIC_CUSTOMERS])
        self.newer = {name: newer for name, newer in self.newer.items() if newer[0] > table.version}

    def quota_for(self, message: ttypes.QuotaRequest) -> windows.Quota | None:
        """Return the quota by the newer routes of the asking and this node; None if unknown."""
        if self.active_routes is not None and self.active_routes.table is not None:
            self.update_table(self.active_routes.table)
        known = self.quotas.get(message.customer)
        version = -1 if self.table is None else self.table.version
        if message.customer in self.newer:
            version, known = self.newer[message.customer]
        if message.rate_per_s and (message.routes_version > version or known is None):
            known = windows.Quota(message.rate_per_s, message.burst or 0.0, self.ownership.terms)
            self.newer[message.customer] = (message.routes_version, known)
        elif message.routes_version > version:
            return None
        return known

    async def on_request(
        self, sender: ttypes.Member, message: ttypes.QuotaRequest
    ) -> ttypes.QuotaReply:
        """Handle a request for a quota of another node."""
        quota = self.quota_for(message)
        if quota is None:
            version = -1 if self.table is None else self.table.version
            return ttypes.QuotaReply(is_owner=False, granted=0, routes_version=version)
        return await self.decide(message, quota)

    async def decide(self, request: ttypes.QuotaRequest, quota: windows.Quota) -> ttypes.QuotaReply:
        """Decide on requests if this node owns the quota, or takes it over."""
        held = await self.ownership.acquire(
            quota, request.customer, last_resort=bool(request.last_resort)
        )
        if held is None:
            holder = self.ownership.known_holder(request.customer)
            return ttypes.QuotaReply(is_owner=False, granted=0, holder=holder or None)
        if request.returned:
            held.window.granted.remove(max(0, request.returned), clock.now())
        share = 1.0
        if self.ownership.search.membership is not None:
            self.ownership.refresh()
            share = self.ownership.share
        decision = held.window.decide(
            quota,
            max(0, request.requests),
            max(0, request.starts),
            clock.now(),
            share=share,
            recent=sum(request.admitted or []),
            in_program=not request.plain,
        )
        held.granted += decision.granted
        if decision.granted and not await self.ownership.secure(quota, held):
            return ttypes.QuotaReply(is_owner=False, granted=0)
        return ttypes.QuotaReply(
            is_owner=True,
            granted=decision.granted,
            valid_s=windows.GRANT_VALID_S if decision.prefetched else 0.0,
            retry_after_s=decision.retry_after_s,
        )
