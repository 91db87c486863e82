"""The laboratory: an emulated environment of edge nodes, a load tool, and reports that compare runs.

The edge node never imports this package. The laboratory drives real edge node processes on loopback, against emulated
app servers, counter, discovery and collector; its figures are marked as emulated.
"""
