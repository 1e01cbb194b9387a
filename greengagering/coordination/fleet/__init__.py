"""Control of the fleet: tickets, availability budgets and waves."""
