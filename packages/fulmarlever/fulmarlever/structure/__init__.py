"""Data classes that the processes of fulmarlever hold, store and exchange."""
