"""Configuration, messages and policies shared by the processes of fulmarlever."""
