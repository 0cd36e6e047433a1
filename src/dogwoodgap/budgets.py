"""Token budgets of whole programs."""

import dataclasses
import math

from dogwoodgap import clock, dialect, exceptions


@dataclasses.dataclass(slots=True)
class Account:
    """What one program has used.

    Attributes
    ----------
    spent : int
        Tokens that callers were given.
    reserved : dict of str to int
        Most tokens of each turn under way, by attempt.
    """

    budget: int
    spent: int = 0
    reserved: dict[str, int] = dataclasses.field(default_factory=dict)
    used_at: float = 0.0

    @property
    def committed(self) -> int:
        """Return the tokens spent and reserved."""
        return self.spent + sum(self.reserved.values())


class Ledger:
    """The accounts of the programs that one node owns."""

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}

    def reserve(self, program: str, attempt: str, tokens: int, budget: int) -> bool:
        """Reserve the most that a turn may use; return False when the budget does not hold it."""
        account = self.accounts.get(program)
        if account is None:
            account = self.accounts[program] = Account(budget)
        account.used_at = clock.now()
        if account.committed + tokens > budget:
            return False
        account.reserved[attempt] = tokens
        return True

    def settle(self, program: str, attempt: str, tokens: int) -> None:
        """Replace a reservation by what was used."""
        account = self.accounts.get(program)
        if account is not None:
            account.reserved.pop(attempt, None)
            account.spent += tokens


class Accounts:
    """Reserves and settles tokens for the turns that this node forwards."""

    def __init__(self) -> None:
        self.ledger = Ledger()

    async def reserve(self, call: dialect.Call) -> None:
        """Reserve the most that a turn may use.

        Raises
        ------
        BudgetExceededError
            When the program's budget does not hold the turn.
        """
        budget = math.inf if call.token_budget is None else call.token_budget
        tokens = call.max_output_tokens
        if not self.ledger.reserve(call.program_id, call.attempt_id, tokens, int(budget)):
            raise exceptions.BudgetExceededError(
                f"the budget of {budget} tokens does not hold another turn of {tokens}; "
                "give the program a larger one"
            )

    def settle(self, call: dialect.Call, tokens: int) -> None:
        """Replace the reservation of a turn by what was used."""
        self.ledger.settle(call.program_id, call.attempt_id, tokens)
