"""Whether workers are trusted with new runs, judged by what became of earlier ones."""
