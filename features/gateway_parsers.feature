Feature: What a gateway makes of documents, headers and bytes as no sound writer sends them
  Each reader runs alone, on drawn input: valid documents with odd values in them, or bytes cut out,
  doubled or replaced.

  # Guards against input that ends a task or another one's request, as its reader raises what nobody expects (LOST).
  @failure.hostile
  Scenario Outline: <what> are read or refused, whatever is in them
    Then no drawn input makes the reader of <what> raise what its caller does not expect

    Examples:
      | what                          |
      | the store's answers           |
      | the store's objects           |
      | heads of requests             |
      | heads of responses            |
      | configuration files           |
      | datagrams of another gateway  |
