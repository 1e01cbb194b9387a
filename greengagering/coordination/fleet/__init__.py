"""The fleet that control decides on: tickets, budgets, waves."""
