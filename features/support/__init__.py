"""Helpers of the features: processes, proxies and HTTP."""
