"""Fleet capacity and maintenance manager driven by numbered tickets."""

__version__ = '0.1.0'
