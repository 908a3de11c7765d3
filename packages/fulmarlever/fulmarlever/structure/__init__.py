"""The data that processes of fulmarlever hold and exchange."""
